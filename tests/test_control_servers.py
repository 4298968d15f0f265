"""Failover of entries between control processes."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages

NODES = [
    messages.ControlNode('relay-a', 'a', replica=False),
    messages.ControlNode('replica-a', 'a', replica=True),
    messages.ControlNode('relay-b', 'b', replica=False),
    messages.ControlNode('replica-b', 'b', replica=True),
]


@pytest.fixture
def servers():
    control_servers = decisions.ControlServers('a', ['seed'], random.Random(1))
    assert control_servers.choose('', 0.0) == 'seed'
    control_servers.update(messages.WatchReply('done', nodes=NODES))
    return control_servers


def test_local_process_is_preferred(servers):
    assert servers.choose('seed', 0.0) == 'relay-a'
    assert servers.choose('relay-a', 0.0) == 'relay-a'


def test_unresponsive_process_is_replaced_by_the_next_best(servers):
    servers.mark_failed('relay-a', 0.0)
    assert servers.choose('', 0.1) == 'replica-a'
    servers.mark_failed('replica-a', 0.1)
    servers.leader = 'replica-b'
    assert servers.choose('', 0.2) == 'replica-b'


def test_recovered_process_is_preferred_again(servers):
    servers.mark_failed('relay-a', 0.0)
    assert servers.choose('replica-a', 0.1) == 'replica-a'
    assert servers.choose('replica-a', 3.0) == 'relay-a'


def test_process_is_chosen_when_all_have_failed(servers):
    for address in ('seed', *(node.address for node in NODES)):
        servers.mark_failed(address, 0.0)
    assert servers.choose('', 0.1) == 'seed'


def test_unlisted_process_is_not_chosen(servers):
    """Guards against polling a hung process every few seconds."""
    servers.update(messages.WatchReply('done', nodes=NODES[1:]))
    assert servers.choose('', 0.0) == 'replica-a'


def test_fastest_local_link_is_preferred(servers):
    """Guards against saturating the link of a small instance."""
    fast = messages.ControlNode('replica-a', 'a', True, 100.0)
    slow = messages.ControlNode('relay-a', 'a', False, 5.0)
    servers.update(messages.WatchReply('done', nodes=[slow, fast]))
    assert servers.choose('', 0.0) == 'replica-a'
    servers.mark_failed('replica-a', 0.0)
    assert servers.choose('', 0.1) == 'relay-a'
