"""Client of the platform's table service, object store and list of instances."""
