"""``goldcrestpond-check-config``: checks a configuration before it is sent."""

import sys
from pathlib import Path
from typing import NoReturn

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from ..platform.operator_configuration import (
    decode_configuration,
    decode_draft,
    tabulate_lists,
)
from ..serving.configuration_check import check_configuration
from ..serving.configuration_difference import find_differences
from ..serving.finding import Finding
from ..serving.route_table import RouteTable
from ..serving.severity import Severity
from .run_program import run_commands

_ERRORS_EXIT_STATUS = 1
_UNREADABLE_EXIT_STATUS = 2
_UNUSABLE_ERRORS = (*DECODE_ERRORS, KeyError, ValueError)


def check_config(file: str, against: str = "", json: bool = False) -> None:
    """Check a configuration of the operator; print what is found, errors first.

    The exit status is 0 without errors, 1 with errors, and 2 if a file cannot be read
    or the version in force cannot be decoded.

    Parameters
    ----------
    file : str
        Configuration as the platform's store holds it, in JSON; its lists may also be
        plain lists of objects.
    against : str, default=""
        Version in force, in the same form; if it is given, the differences are printed.
    json : bool, default=False
        Print one JSON list instead of lines.
    """
    value = _read_file(str(file))
    in_force = _read_in_force(str(against)) if against else None
    findings = find_all(value, in_force)
    if json:
        print(msgspec.json.encode([_to_record(each) for each in findings]).decode())
    else:
        _print_lines(findings)
    if _has_error(findings):
        sys.exit(_ERRORS_EXIT_STATUS)


def find_all(value: bytes, in_force: RouteTable | None) -> list[Finding]:
    """Return all findings about a configuration, the most serious first.

    Parameters
    ----------
    value : bytes
        The configuration, its lists as tables.
    in_force : RouteTable or None
        Version that it is to replace; None if that is not known.
    """
    version_in_force = None if in_force is None else in_force.version
    findings = check_configuration(decode_draft(value), version_in_force)
    try:
        table = decode_configuration(value)
    except _UNUSABLE_ERRORS as error:
        # The instances' decoder has the last word.
        if not _has_error(findings):
            detail = f"cannot be decoded: {error}"
            unusable = Finding(Severity.ERROR, "unreadable", "configuration", detail)
            findings.append(unusable)
    else:
        if in_force is not None:
            findings += find_differences(in_force, table)
    return sorted(findings, key=lambda finding: finding.severity)


def _read_file(name: str) -> bytes:
    try:
        return tabulate_lists(Path(name).read_bytes())
    except OSError as error:
        _exit_unreadable(name, error.strerror or "cannot be read")


def _read_in_force(name: str) -> RouteTable:
    value = _read_file(name)
    try:
        return decode_configuration(value)
    except _UNUSABLE_ERRORS as error:
        _exit_unreadable(name, str(error))


def _exit_unreadable(name: str, detail: str) -> NoReturn:
    print(f"{name}: {detail}", file=sys.stderr)
    sys.exit(_UNREADABLE_EXIT_STATUS)


def _has_error(findings: list[Finding]) -> bool:
    return any(finding.severity is Severity.ERROR for finding in findings)


def _print_lines(findings: list[Finding]) -> None:
    for finding in findings:
        severity = finding.severity.name.lower()
        print(f"{severity:<10} {finding.code}: {finding.subject}: {finding.detail}")
    counts = [
        f"{name}: {sum(finding.severity is severity for finding in findings)}"
        for severity, name in zip(
            Severity, ("errors", "warnings", "differences"), strict=True
        )
    ]
    print(", ".join(counts))


def _to_record(finding: Finding) -> dict[str, str]:
    return {
        "severity": finding.severity.name.lower(),
        "code": finding.code,
        "subject": finding.subject,
        "detail": finding.detail,
    }


def main() -> None:
    """Run the command line."""
    run_commands(check_config)
