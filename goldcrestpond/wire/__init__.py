"""Serves callers over the PostgreSQL protocol."""
