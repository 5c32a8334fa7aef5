"""One time line over the event records of many processes."""
