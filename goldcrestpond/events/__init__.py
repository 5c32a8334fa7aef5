"""Event records of each process, which can be merged into one timeline."""
