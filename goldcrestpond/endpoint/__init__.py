"""Connections to databases over the PostgreSQL protocol (shell)."""
