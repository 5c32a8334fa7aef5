"""A randomized soak of the real program on loopback, with faults and checkers."""
