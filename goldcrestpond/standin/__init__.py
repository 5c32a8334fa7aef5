"""In-memory stand-ins for the databases and the platform, for tests and demos."""
