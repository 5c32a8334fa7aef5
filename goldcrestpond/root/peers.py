"""Creates the node by which a proxy communicates with its peers."""

import random

from ..clock.clock import Clock
from ..distribution.local_configuration import LocalConfiguration
from ..events.recorder import EventRecorder
from ..peer.list_seeds import make_seed_lister
from ..peer.peer_node import PeerNode
from ..peer.peer_settings import PeerSettings
from ..settings.address import parse_address
from ..settings.proxy_settings import ProxySettings
from ..store.platform import Platform


def make_peer_node(
    settings: ProxySettings,
    configuration: LocalConfiguration,
    platform: Platform,
    clock: Clock,
    rng: random.Random,
    events: EventRecorder,
) -> PeerNode:
    """Return the peer node of a proxy; it joins the peers once it runs."""
    listen = parse_address(settings.peer_listen or "127.0.0.1:0")
    peer_settings = PeerSettings(
        settings.instance, settings.availability_zone, listen, settings.peer_key
    )
    list_seeds = make_seed_lister(platform, settings.peer_seeds)
    return PeerNode(peer_settings, configuration, list_seeds, clock, rng, events)
