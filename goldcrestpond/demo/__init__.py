"""The demo: a site on loopback, a load, one failure and an audit."""
