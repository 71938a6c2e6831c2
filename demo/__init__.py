"""Demonstration: two customers and four data centres with twelve nodes."""
