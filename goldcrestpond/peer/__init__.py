"""Messages between instances: Cap'n Proto over UDP and TCP (shell)."""
