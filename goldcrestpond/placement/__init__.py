"""Choice of the instances that keep connections to a database group.

`GroupUse` is used by the PostgreSQL proxy (`root.proxy`), rendezvous hashing by the
instance on the platform's line protocol (`root.instance`).
"""
