"""Numbered result codes and the exceptions that carry them."""
