"""Which control process an entry asks, as they are lost."""

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
    made = decisions.ControlServers('a', ['seed'], random.Random(1))
    assert made.choose('', 0.0) == 'seed'
    made.learn(messages.WatchReply('done', nodes=NODES))
    return made


def test_entries_go_to_a_process_of_their_data_centre(servers):
    assert servers.choose('seed', 0.0) == 'relay-a'
    assert servers.choose('relay-a', 0.0) == 'relay-a'


def test_a_silent_process_is_left_for_the_next_best(servers):
    servers.failed('relay-a', 0.0)
    assert servers.choose('', 0.1) == 'replica-a'
    servers.failed('replica-a', 0.1)
    servers.leader = 'replica-b'
    assert servers.choose('', 0.2) == 'replica-b'


def test_a_process_that_is_back_gets_its_entries_back(servers):
    servers.failed('relay-a', 0.0)
    assert servers.choose('replica-a', 0.1) == 'replica-a'
    assert servers.choose('replica-a', 3.0) == 'relay-a'


def test_where_all_are_silent_some_process_is_asked(servers):
    for address in ('seed', *(node.address for node in NODES)):
        servers.failed(address, 0.0)
    assert servers.choose('', 0.1) == 'seed'


def test_a_process_that_left_the_list_is_not_asked_again(servers):
    """Guards against a try at a frozen process every few seconds."""
    servers.learn(messages.WatchReply('done', nodes=NODES[1:]))
    assert servers.choose('', 0.0) == 'replica-a'


def test_the_fastest_link_of_the_data_centre_is_preferred(servers):
    """Guards against a small instance's link that is full of news."""
    fast = messages.ControlNode('replica-a', 'a', True, 100.0)
    slow = messages.ControlNode('relay-a', 'a', False, 5.0)
    servers.learn(messages.WatchReply('done', nodes=[slow, fast]))
    assert servers.choose('', 0.0) == 'replica-a'
    servers.failed('replica-a', 0.0)
    assert servers.choose('', 0.1) == 'relay-a'
