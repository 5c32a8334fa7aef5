"""Pool of connections to a database: its slots, lanes, queues and shared limits.

Used by the PostgreSQL proxy (`root.proxy`); the instance on the platform's line
protocol (`root.instance`) uses it without the shares and leases.
"""
