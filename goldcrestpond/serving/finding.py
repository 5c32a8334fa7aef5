"""One thing that the check of a configuration found."""

from dataclasses import dataclass

from .severity import Severity


@dataclass(frozen=True, slots=True)
class Finding:
    """What was found, and where. No part of it contains a key.

    Attributes
    ----------
    severity : Severity
        How serious it is.
    code : str
        Kind of finding, in lower case with hyphens; it stays the same over versions.
    subject : str
        Entry of the configuration.
    detail : str
        What is wrong or differs.
    """

    severity: Severity
    code: str
    subject: str
    detail: str
