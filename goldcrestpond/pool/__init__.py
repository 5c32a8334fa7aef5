"""Decisions on connections, slots, lanes and queues of one database."""
