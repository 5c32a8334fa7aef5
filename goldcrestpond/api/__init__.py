"""Resource API of the operators: HTTP and JSON over Starlette."""
