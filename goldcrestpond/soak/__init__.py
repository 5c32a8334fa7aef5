"""Randomized soak test of instance processes on loopback, with faults and checks."""
