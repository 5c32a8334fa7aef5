"""Decisions on endpoints that are leaving and on graceful shutdown."""
