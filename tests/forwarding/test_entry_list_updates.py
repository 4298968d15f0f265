"""Updates of an entry's list of entries."""

import random

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from tests.forwarding import fakes

ENTRIES = [
    messages.ListedEntry(f'e{n:02}', 'dc', f'10.0.1.{n}:80', True)
    for n in range(30)
]


def make_view(entries, version):
    view = _clusterview.ClusterView(lambda: 0.0)
    set_entries(view, entries, version)
    return view


def set_entries(view, entries, version):
    view.set_entries(decisions.EntryList.of(list(entries)), version)


def poll(fleet, view):
    """Apply a control process's reply; return its update of the list."""
    reply = view.reply(fleet._poll_request().known)
    fleet._apply_reply(messages.decode(messages.encode(reply)))
    return reply.entries


def change(rng, entry):
    """Return an entry with one of the fields changed that change often."""
    field = rng.choice(['load_factor', 'weight', 'ready', 'unreachable'])
    value = {
        'load_factor': round(rng.random(), 2),
        'weight': 1.0 + rng.randrange(8) / 8,
        'ready': not entry.ready,
        'unreachable': () if entry.unreachable else ('s',),
    }
    return attrs.evolve(entry, **{field: value[field]})


@pytest.mark.parametrize('seed', range(30))
async def test_an_entry_has_its_control_processs_list(fleet, seed):
    # Guards against a list that differs from the full one after lost replies,
    # restarts and switches of processes.
    rng = random.Random(seed)
    entries = {entry.name: entry for entry in rng.sample(ENTRIES, 20)}
    views = [make_view([], '') for _ in range(2)]
    applied = set()
    for number in range(1, 60):
        if rng.random() < 0.3:
            del entries[rng.choice(list(entries))]
            joined = rng.choice(ENTRIES)
            entries[joined.name] = joined
        name = rng.choice(list(entries))
        entries[name] = change(rng, entries[name])
        current = [entries[name] for name in sorted(entries)]
        for index, view in enumerate(views):
            if rng.random() < 0.1:
                views[index] = view = make_view([], '')
            set_entries(view, current, f'1.{number}')
        if rng.random() < 0.8:
            update = poll(fleet, rng.choice(views))
            applied.add(bool(update.base))
            assert fleet.entries == current
            assert fleet.entries_version == f'1.{number}'
            assert fleet.budget.entries == len(current)
    assert applied == {True, False}


async def test_an_update_of_another_list_has_the_full_one_requested(fleet):
    # Guards against a difference of one list that is applied to another.
    view = make_view(ENTRIES, '1.1')
    known = view.versions()
    poll(fleet, make_view(ENTRIES[2:], '1.1'))
    set_entries(view, ENTRIES[1:], '1.2')
    fleet._apply_reply(view.reply(known))
    assert (fleet.entries, fleet.entries_version) == (ENTRIES[2:], '1.1')
    assert poll(fleet, view).base == b''
    assert (fleet.entries, fleet.entries_version) == (ENTRIES[1:], '1.2')
    set_entries(view, ENTRIES, '1.3')
    assert poll(fleet, view).base
    assert fleet.entries == ENTRIES


async def test_after_an_update_with_another_result_the_list_is_sent(fleet):
    # Guards against the same update again and again.
    view = make_view(ENTRIES, '1.1')
    poll(fleet, view)
    base = view.entries_digest
    set_entries(view, ENTRIES[1:], '1.2')
    update = attrs.evolve(
        view.entries_history.update_from(base), digest=b'x' * 16
    )
    fleet._apply_reply(fakes.make_reply(entries_version='1.2', entries=update))
    assert (fleet.entries, fleet.entries_version) == (ENTRIES, '1.1')
    assert poll(fleet, view).base == b''
    assert (fleet.entries, fleet.entries_version) == (ENTRIES[1:], '1.2')


async def test_a_malformed_update_changes_nothing(fleet):
    view = make_view(ENTRIES, '1.1')
    poll(fleet, view)
    update = messages.ListUpdate(b'x' * 16, b'?', view.entries_digest)
    with pytest.raises(errors.PeerError):
        fleet._apply_reply(
            fakes.make_reply(entries_version='1.2', entries=update)
        )
    assert (fleet.entries, fleet.entries_version) == (ENTRIES, '1.1')
    assert poll(fleet, view) is None


async def test_an_older_list_is_ignored(fleet):
    # Guards against a process without the leader that brings back entries.
    poll(fleet, make_view(ENTRIES, '2.1'))
    poll(fleet, make_view(ENTRIES[1:], '1.9'))
    assert (fleet.entries, fleet.entries_version) == (ENTRIES, '2.1')


async def test_lost_engines_are_probed_by_entries_that_reach_them(fleet):
    entries = [
        attrs.evolve(ENTRIES[0], ready=False),
        attrs.evolve(ENTRIES[1], data_centre='dc2'),
        attrs.evolve(ENTRIES[2], unreachable=('s',)),
        attrs.evolve(ENTRIES[3], data_centre='dc1'),
    ]
    losses = fleet.placement.reported_losses
    poll(fleet, make_view(entries, '1.1'))
    assert losses.entries == ['e03', 'e01']
    poll(fleet, make_view(entries[:1], '1.2'))
    assert losses.entries == ['e00']
