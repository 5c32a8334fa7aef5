"""Composition root: connects decision logic with network, clock and files."""
