"""The tests, one module for each module that they cover."""
