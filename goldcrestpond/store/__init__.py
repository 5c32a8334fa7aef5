"""Client of the platform of the PostgreSQL proxy.

The platform serves a table, an object store and a list of instances over HTTP.
"""
