"""One task's unexpected error ends only what it stands for."""

import ast
from pathlib import Path

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

import goldcrestpond
from goldcrestpond.tasks import supervised_tasks
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

pytestmark = pytest.mark.anyio
_VIEWS = {"values", "items", "keys"}


@pytest.fixture
def errors():
    return []


@pytest.fixture
async def tasks(errors):
    async with anyio.create_task_group() as group:
        yield SupervisedTasks(group, lambda *error: errors.append(error))
        group.cancel_scope.cancel()


async def _fail(_name):
    raise KeyError("unexpected")


# An unexpected error of one task cancelled all tasks of the process.
async def test_error_of_one_task_leaves_the_others_running(tasks, errors):
    done = anyio.Event()

    async def set_later():
        await anyio.sleep(0.01)
        done.set()

    tasks.start_soon(set_later)
    tasks.start_soon(_fail, "fuel")
    with anyio.fail_after(1):
        await done.wait()
    [(name, described, error)] = errors
    assert_that((name, described), Equals(("_fail", "'fuel'")))
    assert_that(error.args, Equals(("unexpected",)))


# A feed or a monitor that failed once was never run again.
async def test_loop_runs_again_after_an_error(tasks, errors, monkeypatch):
    monkeypatch.setattr(supervised_tasks, "LOOP_RESTART_PAUSE_S", 0.001)
    runs = []
    done = anyio.Event()

    async def loop():
        runs.append(1)
        if len(runs) < 3:
            raise RuntimeError
        done.set()

    tasks.start_loop(loop)
    with anyio.fail_after(1):
        await done.wait()
    await anyio.sleep(0.01)
    assert_that((len(runs), len(errors)), Equals((3, 2)))


async def test_error_of_a_call_is_reported(tasks, errors):
    tasks.call(int, "x")
    assert_that(errors[0][:2], Equals(("int", "'x'")))


def _awaits(node):
    kinds = (ast.Await, ast.AsyncFor, ast.AsyncWith)
    return any(isinstance(inner, kinds) for inner in ast.walk(node))


def _is_shared(iterated):
    """Return whether a loop goes over a container that another task may change."""
    if isinstance(iterated, ast.Call) and isinstance(iterated.func, ast.Attribute):
        is_view = iterated.func.attr in _VIEWS
        return is_view and _is_shared(iterated.func.value)
    return isinstance(iterated, ast.Attribute)


def _find_loops(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.For) and _is_shared(node.iter):
            if any(_awaits(inner) for inner in node.body):
                yield f"{path.name}:{node.lineno}"


# A drain order that was withdrawn while the progress of another one was written
# changed the dictionary that the loop went over, which ended the proxy.
def test_no_loop_over_shared_state_waits_in_between():
    root = Path(goldcrestpond.__file__).parent
    folders = ("standin", "load", "soak", "demo")
    loops = [
        loop
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] not in folders
        for loop in _find_loops(path)
    ]
    assert_that(loops, Equals([]))
