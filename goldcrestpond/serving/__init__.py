"""Serving core: statements, sessions, consistency of reads and choice of database.

It does not depend on a wire protocol.
"""
