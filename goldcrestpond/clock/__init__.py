"""Time as an interface: monotonic readings for decisions, wall time for records."""
