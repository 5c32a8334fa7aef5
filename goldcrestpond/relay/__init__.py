"""Passes requests to instances that hold connections to a service (holders)."""
