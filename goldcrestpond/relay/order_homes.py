"""The order in which holders are asked to serve an organisation."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

_Target = TypeVar("_Target")


def order_homes(
    homes: Sequence[_Target],
    standbys: Sequence[_Target],
    is_usable: Callable[[_Target], bool],
    rng: random.Random,
) -> list[_Target]:
    """Return whom to ask, one after the other, until one serves the organisation.

    The homes come in random order, so that each serves an equal part, and before the
    standby. Those that seem unusable come last: the belief may be wrong.

    Parameters
    ----------
    homes, standbys : sequence
        The homes of the organisation, and the standby if there is one.
    is_usable : callable
        Returns whether a holder is believed to answer and to serve the organisation.
    rng : random.Random
        Shuffles the homes.
    """
    shuffled = rng.sample(homes, len(homes))
    return sorted([*shuffled, *standbys], key=lambda target: not is_usable(target))
