"""Protocol-neutral core: statements, sessions, floors and choice of database."""
