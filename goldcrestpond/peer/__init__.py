"""Exchanges messages between instances: Cap'n Proto over UDP and TCP."""
