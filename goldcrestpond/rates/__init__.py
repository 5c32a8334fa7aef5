"""How many operations of an organisation may run, over all instances."""
