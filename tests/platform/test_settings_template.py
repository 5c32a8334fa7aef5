"""The template of the settings, rendered by a stand-in of the platform's rules."""

import json
import re
from pathlib import Path

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.platform.instance_settings import (
    InstanceSettings,
    load_instance_settings,
)

_TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "settings.json"
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
_BASE = {
    "nodeName": "i1",
    "zone": "z1",
    "ip": "10.1.0.8",
    "listenAddrs": {"front": "10.1.0.8:1", "ready": "10.1.0.8:2"},
    "internalPorts": [7000, 7010],
    "platform": {"address": "10.2.0.1:3"},
    "cloudApi": {"address": "10.2.0.1:4"},
    "bounds": {"drainMs": 7000, "configApplyMs": 3000, "graceS": 6},
    "limits": {"linkMbps": 100.0, "maxFds": 4096},
}
_QUOTA = {"quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20}


def _find(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        elif isinstance(fields, dict):
            fields = fields.get(name)
    return fields


def _render(template, fields):
    """Render sections of plain values, which are present or absent, and values."""

    def render_section(match):
        value = _find(fields, match[1])
        is_present = value is not None and value is not False
        return _render(match[2], fields) if is_present else ""

    def render_value(match):
        value = _find(fields, match[1])
        if value is None:
            return ""
        return json.dumps(value) if match[2] else str(value)

    return _VALUE.sub(render_value, _SECTION.sub(render_section, template))


def _settings(bounds):
    fields = _BASE | {"bounds": _BASE["bounds"] | bounds}
    text = _render(_TEMPLATE.read_text(encoding="utf-8"), fields)
    return msgspec.json.decode(text, type=InstanceSettings)


def _limits(settings):
    return (
        settings.revoke_limit_ms,
        settings.rate_window_s,
        settings.rate_overage,
        settings.rate_slack,
    )


@pytest.mark.parametrize(
    ("bounds", "limits"),
    [
        ({}, (0, 0, 0, 0)),
        ({"revokeMs": 5000}, (0, 0, 0, 0)),
        ({"revokeMs": 5000, "revokeFailClosed": False}, (0, 0, 0, 0)),
        ({"revokeFailClosed": True}, (0, 0, 0, 0)),
        ({"revokeMs": 5000, "revokeFailClosed": True}, (5000, 0, 0, 0)),
        (_QUOTA, (0, 5, 0.1, 20)),
        (_QUOTA | {"revokeMs": 5000, "revokeFailClosed": True}, (5000, 5, 0.1, 20)),
        ({"quotaWindowS": 5, "quotaOverage": 0, "quotaSlack": 0}, (0, 5, 0, 0)),
    ],
)
def test_template_is_valid_with_and_without_bounds_of_organisations(bounds, limits):
    settings = _settings(bounds)
    assert_that(_limits(settings), Equals(limits))
    assert_that(settings.apply_limit_ms, Equals(3000))


def test_negative_limit_is_refused(tmp_path):
    path = tmp_path / "settings.json"
    settings = msgspec.to_builtins(_settings({})) | {"rate_slack": -1}
    path.write_bytes(msgspec.json.encode(settings))
    with pytest.raises(Exception, match="rate_slack is negative"):
        load_instance_settings(str(path))
