"""Names of the platform's interfaces occur only in the adapter and the stand-ins."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Not

_PACKAGE = Path(__file__).parent.parent.parent / "goldcrestpond"
_NAMES = [
    "dbRole",
    "warmupLeftMs",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "serviceName",
    "configVersion",
    "client_facing",
    "maxStalenessMs",
    "GOLDCRESTPOND_SETTINGS",
    "X-Goldcrestpond",
    "SINCE ",
    "STEPDOWN",
    "READONLY",
    "INDOUBT",
]
_ALLOWED_FOLDERS = ("platform", "standin")


@pytest.mark.parametrize("name", _NAMES)
def test_name_occurs_only_in_the_adapter(name):
    for path in _PACKAGE.rglob("*.py"):
        if path.relative_to(_PACKAGE).parts[0] in _ALLOWED_FOLDERS:
            continue
        assert_that(path.read_text(encoding="utf-8"), Not(Contains(name)), str(path))
