"""Decisions on read-your-writes: tokens and read floors."""
