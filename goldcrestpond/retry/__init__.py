"""Rules for retrying a request, with backoff and a retry budget."""
