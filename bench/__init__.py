"""Benches; with ``--json``, the last line printed is a JSON result object."""
