"""Read-your-writes: session tokens and the positions that reads must show."""
