"""Caller connections over the PostgreSQL protocol (shell)."""
