"""State machines for draining an endpoint and for a graceful shutdown."""
