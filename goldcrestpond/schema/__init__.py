"""Cap'n Proto schemas, loaded at run time."""
