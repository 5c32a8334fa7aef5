"""Resources of the configuration, their changes and their revisions, without I/O."""
