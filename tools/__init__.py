"""Tools for maintainers."""
