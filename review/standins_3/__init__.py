"""Stand-ins of the third review: store, databases, callers and instances."""
