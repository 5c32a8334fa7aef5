"""Measurements; each module is a command that prints one JSON line."""
