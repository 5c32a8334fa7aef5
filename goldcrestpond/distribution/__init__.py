"""Distribution of the configuration among instances, and what is in force."""
