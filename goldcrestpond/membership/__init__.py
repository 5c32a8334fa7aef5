"""Decisions on which instances are alive."""
