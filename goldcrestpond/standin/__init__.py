"""Small stand-ins for the systems that goldcrestpond talks to."""
