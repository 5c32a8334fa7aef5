"""How the store's tables reach all instances through a few that read them.

An instance that reads the store is a reader; all others follow a reader, directly or
through another instance, and read the store themselves only if nobody serves them.
"""
