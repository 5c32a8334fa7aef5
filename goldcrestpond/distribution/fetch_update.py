"""Action: fetch an update over a stream."""

from dataclasses import dataclass

from .update_request import UpdateRequest


@dataclass(frozen=True, slots=True)
class FetchUpdate:
    """Send ``request`` to ``address`` over a stream and take the answer in.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the member that holds the update.
    request : UpdateRequest
        What to ask.
    """

    address: str
    request: UpdateRequest
