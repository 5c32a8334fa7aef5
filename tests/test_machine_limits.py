"""Facilities of the operating system that running programs must not use."""

import os
import subprocess
import sys
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Contains, Not

_PROGRAM = Path(sys.executable).parent / "goldcrestpond-standin"


def test_running_program_opens_no_io_uring(tmp_path):
    settings = tmp_path / "platform.json"
    settings.write_text("{}")
    command = [str(_PROGRAM), "platform", "--settings", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert_that(process.stdout.readline(), Contains("ready"))
        folder = f"/proc/{process.pid}/fd"
        targets = [os.readlink(f"{folder}/{name}") for name in os.listdir(folder)]
        assert_that(" ".join(targets), Not(Contains("io_uring")))
    finally:
        process.terminate()
        process.wait(10)
        process.stdout.close()
