"""Passes requests to the instances that hold connections to a service (holders).

Used on the platform with the line protocol.
"""
