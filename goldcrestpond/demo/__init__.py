"""The demo: a local site under load, one failover and an audit."""
