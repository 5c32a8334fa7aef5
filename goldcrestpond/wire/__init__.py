"""Serves callers of the PostgreSQL proxy over the PostgreSQL protocol."""
