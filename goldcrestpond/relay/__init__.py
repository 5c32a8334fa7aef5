"""Requests of instances that hold no connections to a service, passed to holders."""
