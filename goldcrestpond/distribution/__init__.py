"""Distribution of the configuration among instances, and what is in force.

Used by the PostgreSQL proxy (`root.proxy`).
"""
