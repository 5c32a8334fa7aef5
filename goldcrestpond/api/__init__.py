"""Resource API: HTTP and JSON over Starlette (shell)."""
