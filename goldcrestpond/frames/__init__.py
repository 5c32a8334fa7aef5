"""Frames of the PostgreSQL protocol: splitting streams, reading and building."""
