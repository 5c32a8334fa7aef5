"""Values that describe a database group: roles, terms and log positions."""
