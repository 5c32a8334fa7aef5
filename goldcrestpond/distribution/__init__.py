"""Decisions on spreading the configuration and on what is in force."""
