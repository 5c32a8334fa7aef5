"""Decisions on configuration: revisions, resources and what is in force."""
