"""Every module can be imported."""

import importlib
import pkgutil

import pytest

import goldcrestpond

_MODULES = [
    module.name
    for module in pkgutil.walk_packages(goldcrestpond.__path__, "goldcrestpond.")
]


@pytest.mark.parametrize("name", _MODULES)
def test_module_can_be_imported(name):
    importlib.import_module(name)
