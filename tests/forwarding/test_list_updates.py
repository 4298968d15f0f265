"""Updates of an entry's list of backend servers."""

import random

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from tests.forwarding import fakes

SERVERS = [
    messages.ListedBackend(f'i{n:02}', f's{n % 3}', f'10.0.0.{n}:80', 'dc', 8)
    for n in range(30)
]


def make_view(servers, version):
    view = _clusterview.ClusterView(lambda: 0.0)
    set_servers(view, servers, version)
    return view


def set_servers(view, servers, version):
    view.set_backends(decisions.BackendList.of(list(servers)), version)


def poll(fleet, view):
    """Apply a control process's reply; return its update of the list."""
    reply = view.reply(fleet._poll_request().known)
    fleet._apply_reply(messages.decode(messages.encode(reply)))
    return reply.backends


def listed(fleet):
    """Return the entry's servers, in the order in which it tries them."""
    return [
        messages.ListedBackend(
            b.ident,
            b.service,
            b.address,
            b.data_centre,
            b.slots,
            b.leaving,
            b.version,
        )
        for b in fleet.placement.backends.values()
    ]


@pytest.mark.parametrize('seed', range(30))
async def test_an_entry_has_its_control_processs_list(fleet, seed):
    # Guards against a list that differs from the full one after lost replies,
    # restarts, switches of processes and reads of the platform's list.
    rng = random.Random(seed)
    servers = rng.sample(SERVERS, 20)
    views = [make_view(servers, '1.0') for _ in range(2)]
    applied = set()
    for number in range(1, 60):
        if rng.random() < 0.7:
            servers.pop(rng.randrange(len(servers)))
            absent = [
                s for s in SERVERS if s.ident not in map(_ident, servers)
            ]
            servers.insert(rng.randrange(len(servers)), rng.choice(absent))
        servers[0] = attrs.evolve(servers[0], leaving=rng.random() < 0.5)
        for index, view in enumerate(views):
            if rng.random() < 0.1:
                views[index] = view = make_view([], '')
            set_servers(view, servers, f'1.{number}')
        if rng.random() < 0.2:
            fleet.backends_version = ''
            fleet._apply_backends(decisions.BackendList.of(servers[1:]))
        if rng.random() < 0.8:
            update = poll(fleet, rng.choice(views))
            applied.add(bool(update.base))
            assert listed(fleet) == servers
            assert fleet.backends_version == f'1.{number}'
    assert applied == {True, False}


def _ident(server):
    return server.ident


async def test_an_update_of_another_list_has_the_full_one_requested(fleet):
    # Guards against a reply to a poll that began before the entry read the
    # platform's list.
    view = make_view(SERVERS, '1.1')
    poll(fleet, view)
    known = fleet._poll_request().known
    set_servers(view, SERVERS[1:], '1.2')
    fleet.backends_version = ''
    fleet._apply_backends(decisions.BackendList.of(SERVERS[2:]))
    fleet._apply_reply(view.reply(known))
    assert (listed(fleet), fleet.backends_version) == (SERVERS[2:], '')
    update = poll(fleet, view)
    assert update.base == b''
    assert (listed(fleet), fleet.backends_version) == (SERVERS[1:], '1.2')


async def test_an_update_that_is_not_applied_confirms_no_list(fleet):
    # Guards against a list that is taken to be new because of its version.
    fleet._apply_backends(decisions.BackendList.of(SERVERS))
    fleet.backends_version = '1.1'
    update = messages.ListUpdate(b'x' * 16, b'', b'y' * 16)
    fleet._apply_reply(
        fakes.make_reply(backends_version='1.2', backends=update)
    )
    assert fleet.backends_read_at == 0.0
    assert fleet.backends_version == '1.1'


async def test_a_malformed_update_changes_nothing(fleet):
    fleet._apply_backends(decisions.BackendList.of(SERVERS))
    fleet.backends_version = '1.1'
    update = messages.ListUpdate(b'x' * 16, b'?', fleet.listed.digest)
    with pytest.raises(errors.PeerError):
        fleet._apply_reply(
            fakes.make_reply(backends_version='1.2', backends=update)
        )
    assert (listed(fleet), fleet.backends_version) == (SERVERS, '1.1')


async def test_another_list_of_the_same_version_replaces_the_list(fleet):
    # Guards against an entry that keeps the list of a former log.
    poll(fleet, make_view(SERVERS, '1.1'))
    view = make_view(SERVERS[1:], '1.1')
    poll(fleet, view)
    assert (listed(fleet), fleet.backends_version) == (SERVERS[1:], '1.1')
    assert poll(fleet, view) is None


async def test_an_older_list_is_ignored(fleet):
    # Guards against a process without the leader that brings back servers.
    poll(fleet, make_view(SERVERS, '2.1'))
    poll(fleet, make_view(SERVERS[1:], '1.9'))
    assert (listed(fleet), fleet.backends_version) == (SERVERS, '2.1')


async def test_after_an_update_with_another_result_the_list_is_sent(fleet):
    # Guards against the same update again and again.
    view = make_view(SERVERS, '1.1')
    poll(fleet, view)
    base = fleet.listed.digest
    set_servers(view, SERVERS[1:], '1.2')
    update = attrs.evolve(
        view.backends_history.update_from(base), digest=b'x' * 16
    )
    fleet._apply_reply(
        fakes.make_reply(backends_version='1.2', backends=update)
    )
    assert (listed(fleet), fleet.backends_version) == (SERVERS, '1.1')
    assert poll(fleet, view).base == b''
    assert (listed(fleet), fleet.backends_version) == (SERVERS[1:], '1.2')
