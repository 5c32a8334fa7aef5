"""Composition root: the one place that wires decisions to shells."""
