"""Serving core: statements, sessions, consistency of reads and choice of database.

It does not depend on a wire protocol. Used by the instance on the platform's line
protocol (`root.instance`), which calls a group a service and its primary the leader.
"""
