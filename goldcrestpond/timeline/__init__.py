"""Merges the event records of many processes into one timeline."""
