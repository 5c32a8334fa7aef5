"""Choice of the instances that keep connections to a database group."""
