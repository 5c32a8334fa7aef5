"""Whole frames of the PostgreSQL protocol: cut, read and built."""
