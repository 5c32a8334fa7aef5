"""Choice of the database that serves a request."""
