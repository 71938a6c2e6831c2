"""Measurements; with ``--json`` the last line is one result object."""
