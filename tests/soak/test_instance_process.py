"""An instance has one process at a time, also if faults overlap."""

import random
import signal
import subprocess
import sys

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.soak import instance_process, soak_faults
from goldcrestpond.soak.instance_process import InstanceProcess
from goldcrestpond.soak.soak_faults import kill_instance, stop_instance

_SLEEPER = "import time; time.sleep(60)"


class _Site:
    def __init__(self, instance):
        self.instances = [instance]


@pytest.fixture
def children(monkeypatch):
    """Return a list of all started child processes; each only sleeps."""
    started = []

    def start(command, **options):
        started.append(subprocess.Popen([sys.executable, "-c", _SLEEPER], **options))
        return started[-1]

    class _Module:
        Popen = staticmethod(start)

    monkeypatch.setattr(instance_process, "subprocess", _Module)
    monkeypatch.setattr(soak_faults, "SHUTDOWN_GRACE_S", 0.1)
    yield started
    for child in started:
        child.kill()
        child.wait()


def test_running_instance_is_not_started_again(children, tmp_path):
    instance = InstanceProcess("i1", tmp_path, {})
    instance.start()
    with pytest.raises(RuntimeError):
        instance.start()
    assert_that(len(children), Equals(1))
    instance.kill()
    assert_that(instance.is_running, Is(False))


def test_overlapping_faults_leave_one_child_process(children, tmp_path):
    instance = InstanceProcess("i1", tmp_path, {})

    async def body():
        instance.start()
        async with anyio.create_task_group() as tasks:
            for seed in range(4):
                fault = (kill_instance, stop_instance)[seed % 2]
                tasks.start_soon(fault, _Site(instance), random.Random(seed))

    anyio.run(body)
    running = [child for child in children if child.poll() is None]
    assert_that(len(running), Equals(1))
    instance.send_signal(signal.SIGSTOP)
    instance.kill()
    assert_that(running[0].poll() is None, Is(False))
