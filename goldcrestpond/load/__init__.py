"""Load with an audit: what callers were told against what the databases hold."""
