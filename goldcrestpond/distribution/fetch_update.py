"""Action: fetch an update over a stream."""

from dataclasses import dataclass

from .update_request import UpdateRequest


@dataclass(frozen=True, slots=True)
class FetchUpdate:
    """Send ``request`` to ``address`` over a stream and process the answer.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the member that holds the update.
    request : UpdateRequest
        The request.
    """

    address: str
    request: UpdateRequest
