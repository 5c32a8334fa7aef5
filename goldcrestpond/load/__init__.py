"""Load generator that audits acknowledged writes against the databases."""
