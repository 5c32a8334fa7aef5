"""Builds store rows for tests."""

from goldcrestpond.serving.row_store import StoredRow


def row(key, version, value=b"{}"):
    return StoredRow("t", "", key, value, version)
