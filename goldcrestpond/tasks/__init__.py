"""Tasks of a process, of which each one's errors end only itself."""
