"""Clock interface: monotonic time for decisions, wall-clock time for records."""
