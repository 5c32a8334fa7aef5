"""Terms of a database group: commit confirmation, failure detection, promotion."""
