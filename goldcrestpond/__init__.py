"""A database proxy with session consistency for PostgreSQL endpoints."""
