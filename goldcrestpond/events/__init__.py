"""Event records of every process, for one time line over all of them."""
