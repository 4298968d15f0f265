"""The list of backend servers in watch replies, without a network."""

import random

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold.control import _listhistory
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages

SERVERS = [
    messages.ListedBackend(f'i{n:02}', 's', f'10.0.0.{n}:80', 'dc', 8)
    for n in range(40)
]


def make_view(servers=(), version='1.1'):
    view = _clusterview.ClusterView(lambda: 0.0)
    set_servers(view, servers, version)
    return view


def set_servers(view, servers, version):
    # Copies, as a list that is read again holds no earlier object.
    servers = [attrs.evolve(server) for server in servers]
    view.set_backends(decisions.BackendList.of(servers), version)


def update_for(view, digest):
    return view.reply(messages.Known(backends_digest=digest)).backends


def leaving(servers, *indices):
    return [
        attrs.evolve(server, leaving=server.leaving or n in indices)
        for n, server in enumerate(servers)
    ]


# Encoding


def test_a_list_keeps_its_order_and_fields():
    # Guards against equal seeds that give different choices of servers.
    servers = [attrs.evolve(SERVERS[0], leaving=True), *SERVERS[:0:-1]]
    packed = messages.BACKEND_LIST.pack(servers)
    assert messages.BACKEND_LIST.unpack(packed) == servers


@pytest.mark.parametrize(
    'data', [b'', b'x', messages.BACKEND_LIST.pack([])[:-1]]
)
def test_malformed_lists_and_splices_are_rejected(data):
    with pytest.raises(errors.PeerError):
        messages.BACKEND_LIST.unpack(data)
    with pytest.raises(errors.PeerError):
        messages.BACKEND_LIST.unpack_splices(data)


def test_a_digest_tells_order_and_fields():
    # Guards against a difference that is applied to a similar list.
    digests = {
        messages.BACKEND_LIST.digest(servers)
        for servers in (
            SERVERS,
            SERVERS[::-1],
            SERVERS[1:],
            leaving(SERVERS, 5),
            [attrs.evolve(SERVERS[0], version='v2'), *SERVERS[1:]],
        )
    }
    assert len(digests) == 5


@pytest.mark.parametrize('seed', range(200))
def test_splices_give_exactly_the_other_list(seed):
    # Guards against a list of other servers, or in another order.
    rng = random.Random(seed)
    old = rng.sample(SERVERS, rng.randrange(41))
    new = [
        attrs.evolve(server, leaving=rng.random() < 0.1)
        for server in old
        if rng.random() < 0.9
    ]
    for _ in range(rng.randrange(6)):
        new.insert(rng.randrange(len(new) + 1), rng.choice(SERVERS))
    if seed % 4 == 0:
        rng.shuffle(new)
    former, listed = map(decisions.BackendList.of, (old, new))
    update = messages.ListUpdate(
        listed.digest,
        messages.BACKEND_LIST.pack_splices(decisions.list_splices(old, new)),
        former.digest,
    )
    assert former.updated(update) == listed


def test_splices_hold_only_what_differs():
    new = leaving([*SERVERS[:3], *SERVERS[4:]], 9)
    new.append(attrs.evolve(SERVERS[3], ident='new'))
    splices = decisions.list_splices(SERVERS, new)
    assert splices == [
        messages.ListSplice(3, 4, []),
        messages.ListSplice(10, 11, [new[9]]),
        messages.ListSplice(40, 40, [new[-1]]),
    ]
    assert decisions.list_splices(SERVERS, list(SERVERS)) == []


# What a control process sends


def test_replies_share_one_encoded_update():
    # Guards against encoding the list once more for each entry.
    view = make_view(SERVERS)
    base = view.backends_digest
    full = update_for(view, b'')
    assert update_for(view, b'unknown') is full
    set_servers(view, leaving(SERVERS, 1), '1.2')
    assert update_for(view, b'') is not full
    assert update_for(view, base) is update_for(view, base)


def test_an_entry_gets_what_changed_since_its_list():
    view = make_view(SERVERS)
    base = view.backends_digest
    set_servers(view, leaving(SERVERS, 1), '1.2')
    update = update_for(view, base)
    assert (update.base, update.digest) == (base, view.backends_digest)
    splices = messages.BACKEND_LIST.unpack_splices(update.packed)
    assert [splice.items[0].ident for splice in splices] == ['i01']


def test_after_a_lost_reply_the_next_one_holds_both_changes():
    view = make_view(SERVERS)
    before = decisions.BackendList.of(SERVERS)
    set_servers(view, leaving(SERVERS, 1), '1.2')
    update_for(view, before.digest)
    set_servers(view, leaving(SERVERS, 1, 7), '1.3')
    update = update_for(view, before.digest)
    assert update.base == before.digest
    assert before.updated(update).items == leaving(SERVERS, 1, 7)


def test_a_restarted_process_sends_the_full_list():
    # Guards against versions that a new log gives to other lists.
    digest = make_view(SERVERS, '1.1').backends_digest
    restarted = make_view(SERVERS[3:], '1.1')
    set_servers(restarted, SERVERS[4:], '1.2')
    known = messages.Known(backends='1.1', backends_digest=digest)
    update = restarted.reply(known).backends
    assert update.base == b''
    assert messages.BACKEND_LIST.unpack(update.packed) == SERVERS[4:]


def test_one_version_of_two_lists_is_told_apart():
    # Guards against an entry that keeps the list of a former log.
    view = make_view(SERVERS[1:], '1.1')
    known = messages.Known(
        backends='1.1', backends_digest=messages.BACKEND_LIST.digest(SERVERS)
    )
    assert view.is_newer_than(known)
    assert view.reply(known).backends.base == b''
    view.update(make_view(SERVERS, '1.1').reply(view.versions()), 0.0)
    assert view.backends == SERVERS
    assert not view.is_newer_than(attrs.evolve(known, entries='1.1'))


def test_a_list_that_is_no_longer_kept_is_unknown():
    view = make_view(SERVERS)
    base = view.backends_digest
    for number in range(1, _listhistory.MAX_LISTS):
        set_servers(view, leaving(SERVERS, number), f'1.{number + 1}')
    assert update_for(view, base).base == base
    set_servers(view, SERVERS[1:], '1.99')
    assert update_for(view, base).base == b''
    assert len(view.backends_history.recent) == _listhistory.MAX_LISTS


def test_a_difference_that_is_not_smaller_is_not_sent():
    view = make_view(SERVERS)
    base = view.backends_digest
    set_servers(view, SERVERS[::-1], '1.2')
    update = update_for(view, base)
    assert update.base == b''
    assert messages.BACKEND_LIST.unpack(update.packed) == SERVERS[::-1]


def test_an_equal_list_of_a_new_term_is_sent_without_servers():
    view = make_view(SERVERS)
    set_servers(view, SERVERS, '2.1')
    update = update_for(view, view.backends_digest)
    assert messages.BACKEND_LIST.unpack_splices(update.packed) == []
    assert update.base == update.digest


def test_kept_lists_share_their_servers():
    # Guards against 16 times the memory of 3,000 servers.
    view = make_view(SERVERS)
    set_servers(view, leaving(SERVERS, 1), '1.2')
    former, current = view.backends_history.recent.values()
    assert sum(a is b for a, b in zip(former, current, strict=True)) == 39


# What its receivers do


def test_an_update_of_another_list_is_never_applied():
    view = make_view(SERVERS)
    base = view.backends_digest
    set_servers(view, leaving(SERVERS, 1), '1.2')
    update = update_for(view, base)
    assert decisions.BackendList.of(SERVERS[1:]).updated(update) is None
    assert decisions.BackendList([], b'').updated(update) is None


def test_an_update_with_another_result_is_not_applied():
    # Guards against a wrong list that later differences would build on.
    listed = decisions.BackendList.of(SERVERS)
    splices = [messages.ListSplice(3, 4, [])]
    update = messages.ListUpdate(
        messages.BACKEND_LIST.digest(SERVERS[1:]),
        messages.BACKEND_LIST.pack_splices(splices),
        listed.digest,
    )
    assert listed.updated(update) is None


def test_a_control_process_copies_the_leaders_list():
    leader, follower = make_view(SERVERS), make_view(version='')
    follower.update(leader.reply(follower.versions()), 0.0)
    set_servers(leader, leaving(SERVERS, 2), '1.2')
    reply = leader.reply(follower.versions())
    assert reply.backends.base
    follower.update(reply, 0.0)
    assert follower.backends == leaving(SERVERS, 2)
    assert follower.versions() == leader.versions()
    assert leader.reply(follower.versions()).backends is None


def test_a_control_process_asks_for_the_full_list_if_none_applies():
    leader, follower = make_view(SERVERS), make_view(SERVERS[1:])
    base = leader.backends_digest
    set_servers(leader, leaving(SERVERS, 2), '1.2')
    known = messages.Known(backends='1.1', backends_digest=base)
    follower.update(leader.reply(known), 0.0)
    assert (follower.backends, follower.backends_version) == (
        SERVERS[1:],
        '1.1',
    )
    follower.update(leader.reply(follower.versions()), 0.0)
    assert follower.backends == leaving(SERVERS, 2)
    assert follower.versions() == leader.versions()


def test_an_older_list_is_ignored_by_a_control_process():
    # Guards against a deposed leader that brings back removed servers.
    leader, follower = make_view(SERVERS, '2.1'), make_view(SERVERS[1:], '3.1')
    follower.update(leader.reply(follower.versions()), 0.0)
    assert follower.backends == SERVERS[1:]
    assert follower.backends_digest == messages.BACKEND_LIST.digest(
        SERVERS[1:]
    )
