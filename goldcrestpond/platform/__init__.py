"""Adapter between the serving core and the interfaces of the users' platform."""
