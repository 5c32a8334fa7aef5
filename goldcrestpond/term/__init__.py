"""Decisions on terms: acknowledgement, failure detection and promotion."""
