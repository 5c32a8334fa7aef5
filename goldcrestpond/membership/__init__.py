"""Membership protocol: which instances are alive."""
