"""Small stand-ins of the platform, the databases and the consumers, for the cases.

They need the standard library only and follow the pages SYSTEM, PROTOCOL and DEPLOY.
"""
