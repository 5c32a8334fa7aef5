"""The PostgreSQL proxy's connections to databases and its groups of databases."""
