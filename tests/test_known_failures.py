"""Tests of the handling of known failures in test runs."""

import types

from tests import conftest

FAILING = 'tests/test_a.py::test_fails'


class FakeHook:
    def __init__(self):
        self.deselected = []

    def pytest_deselected(self, items):
        self.deselected += items


def collect(monkeypatch, *arguments):
    monkeypatch.setattr(
        conftest, 'known_failures', lambda: {FAILING: '', FAILING + '[1]': ''}
    )
    hook = FakeHook()
    config = types.SimpleNamespace(args=list(arguments), hook=hook)
    items = [
        types.SimpleNamespace(nodeid=nodeid)
        for nodeid in (FAILING, FAILING + '[1]', 'tests/test_a.py::test_b')
    ]
    conftest.pytest_collection_modifyitems(config, items)
    return [item.nodeid for item in items]


def test_known_failures_are_left_out_of_a_run_of_files(monkeypatch):
    assert collect(monkeypatch, 'tests') == ['tests/test_a.py::test_b']


def test_a_known_failure_runs_if_it_is_named(monkeypatch):
    # Guards against commands of KNOWN-RED.txt that run no test.
    assert FAILING in collect(monkeypatch, FAILING)
    assert FAILING + '[1]' in collect(monkeypatch, FAILING + '[1]')
