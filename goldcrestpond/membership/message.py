"""Messages of the membership protocol."""

from .gossip import Gossip
from .probe import Probe
from .probe_answer import ProbeAnswer
from .probe_request import ProbeRequest
from .sync_request import SyncRequest

Message = Probe | ProbeAnswer | ProbeRequest | Gossip | SyncRequest
