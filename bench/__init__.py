"""Benchmarks; with ``--json``, the last line printed is a JSON object."""
