"""Which process a loopback connection comes from, by Linux' process file system."""

import os
from collections.abc import Iterable
from pathlib import Path

_LOCAL_ADDRESS_COLUMN = 1
_INODE_COLUMN = 9


def find_owner(port: int, processes: Iterable[int]) -> int | None:
    """Return which of some processes has the socket with a local port, or None."""
    inode = _find_inode(port)
    if inode is None:
        return None
    target = f"socket:[{inode}]"
    for process in processes:
        if target in _read_descriptors(process):
            return process
    return None


def _find_inode(port: int) -> str | None:
    suffix = f":{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if columns[_LOCAL_ADDRESS_COLUMN].endswith(suffix):
            inode = columns[_INODE_COLUMN]
            if inode != "0":  # else nobody has it any more
                return inode
    return None


def _read_descriptors(process: int) -> set[str]:
    targets = set()
    folder = f"/proc/{process}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return targets  # the process has ended
    for name in names:
        try:
            targets.add(os.readlink(f"{folder}/{name}"))
        except OSError:
            continue  # closed meanwhile
    return targets
