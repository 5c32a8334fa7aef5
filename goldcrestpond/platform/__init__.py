"""Adapter between the serving core and the platform with the line protocol."""
