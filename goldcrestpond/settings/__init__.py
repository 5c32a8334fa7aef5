"""Settings files: JSON with comments, checked against typed classes."""
