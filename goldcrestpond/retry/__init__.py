"""Decisions on repeating a request and on its retry budget."""
