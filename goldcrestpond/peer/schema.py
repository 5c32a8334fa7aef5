"""Loads the Cap'n Proto schema of the messages between instances."""

from pathlib import Path

import capnp

_FOLDER = Path(__file__).parent.parent / "schema"

peer_schema = capnp.load(str(_FOLDER / "peer.capnp"))
