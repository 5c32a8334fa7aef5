"""Membership protocol: which instances are alive.

Used by the PostgreSQL proxy (`root.proxy`).
"""
