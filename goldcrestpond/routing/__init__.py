"""Decisions on which database serves a request."""
