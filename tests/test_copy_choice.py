"""Which peers hold copies of an entry's transcripts, and who is awaited."""

import pytest

from bulrushhold import decisions

CANDIDATES = ['a', 'b', 'c', 'd']


@pytest.fixture
def peers():
    choice = decisions.CopyPeers(2)
    choice.update_candidates(CANDIDATES)
    return choice


@pytest.fixture
def synced_peers(peers):
    peers.on_acknowledged('a')
    peers.on_acknowledged('b')
    return peers


def test_the_preferred_candidates_are_members(peers):
    assert set(peers.members) == {'a', 'b'}


def test_new_peers_are_awaited_until_one_is_synced(peers):
    assert peers.awaited == ['a', 'b']
    peers.on_acknowledged('b')
    assert peers.awaited == ['b']


def test_a_late_peer_is_not_awaited_and_gets_a_substitute(synced_peers):
    synced_peers.on_late('a')
    assert set(synced_peers.members) == {'a', 'b', 'c'}
    assert synced_peers.awaited == ['b']


def test_new_substitutes_are_awaited_when_all_peers_are_late(synced_peers):
    # Otherwise tokens would be shown uncopied though other entries are live.
    synced_peers.on_late('a')
    synced_peers.on_late('b')
    assert synced_peers.awaited == ['c', 'd']


def test_nobody_is_awaited_when_every_candidate_is_late(synced_peers):
    # An entry that is cut off from all others must still send its tokens.
    for address in CANDIDATES:
        synced_peers.on_late(address)
    assert synced_peers.awaited == []


def test_a_late_peer_replaces_its_substitute_once_it_acknowledges(
    synced_peers,
):
    synced_peers.on_late('a')
    synced_peers.on_acknowledged('c')
    assert synced_peers.awaited == ['b', 'c']
    synced_peers.on_acknowledged('a')
    assert set(synced_peers.members) == {'a', 'b'}
    assert sorted(synced_peers.awaited) == ['a', 'b']


def test_a_removed_candidate_is_replaced(synced_peers):
    synced_peers.update_candidates(['b', 'c', 'd'])
    assert set(synced_peers.members) == {'b', 'c'}
    assert synced_peers.awaited == ['b']


def test_an_answer_of_a_removed_peer_is_ignored(synced_peers):
    synced_peers.update_candidates(['b', 'c'])
    synced_peers.on_acknowledged('a')
    synced_peers.on_late('a')
    assert set(synced_peers.members) == {'b', 'c'}


def test_without_copies_nobody_is_awaited():
    choice = decisions.CopyPeers(0)
    choice.update_candidates(CANDIDATES)
    assert not choice.members
    assert not choice.awaited
