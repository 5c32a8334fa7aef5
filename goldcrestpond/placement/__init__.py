"""Decisions on which instances hold connections to a database group."""
