"""Pool of connections to a database: its slots, lanes, queues and shared limits."""
