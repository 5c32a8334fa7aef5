"""Benchmarks; most modules are commands that print one JSON line."""
