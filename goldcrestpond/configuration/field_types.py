"""Constrained field types that the resource specs share."""

from typing import Annotated

from msgspec import Meta

# Names become parts of table keys and URL paths.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
OptionalName = Annotated[str, Meta(pattern=rf"{NAME_PATTERN}|^$")]
AddressText = Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]
Count = Annotated[int, Meta(ge=1, le=100_000)]
DurationMs = Annotated[int, Meta(ge=0, le=86_400_000)]
# The proxy writes the name into SQL statements without quotes.
OptionalTable = Annotated[str, Meta(pattern=r"^([A-Za-z_]\w*\.)?[A-Za-z_]\w*$|^$")]
