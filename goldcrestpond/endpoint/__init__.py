"""Connections to databases over the PostgreSQL protocol, and groups of databases."""
