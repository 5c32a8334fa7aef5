"""Command-line programs; each module is one program on top of the composition root."""
