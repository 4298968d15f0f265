"""The list of entries in watch replies, without a network."""

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold import errors
from bulrushhold import messages

ENTRIES = [
    messages.ListedEntry(f'e{n:02}', 'dc', f'10.0.0.{n}:80', True)
    for n in range(40)
]


def make_view(entries=(), version='1.1'):
    view = _clusterview.ClusterView(lambda: 0.0)
    view.set_entries(list(entries), version)
    return view


def test_a_list_keeps_its_order_and_fields():
    # Guards against callers that are sent to other entries than before.
    entries = [
        attrs.evolve(
            ENTRIES[0],
            ready=False,
            proxy='10.0.0.1:81',
            unreachable=('s', 't'),
            weight=2.5,
            has_disk=True,
            load_factor=0.4,
        ),
        *ENTRIES[:0:-1],
    ]
    packed = messages.pack_entries(entries)
    assert messages.unpack_entries(packed) == entries


@pytest.mark.parametrize('data', [b'', b'x', messages.pack_entries([])[:-1]])
def test_malformed_lists_are_rejected(data):
    with pytest.raises(errors.PeerError):
        messages.unpack_entries(data)


def test_replies_share_one_encoded_list():
    # Guards against encoding the list once more for each entry.
    view = make_view(ENTRIES)
    first, second = (view.reply(messages.Known()) for _ in range(2))
    assert first.entries is second.entries


def test_a_control_process_copies_the_leaders_list():
    leader, follower = make_view(ENTRIES), make_view(version='')
    follower.update(leader.reply(follower.versions()))
    assert follower.entries == ENTRIES
    assert follower.versions() == leader.versions()
    assert leader.reply(follower.versions()).entries is None


def test_an_older_list_is_ignored_by_a_control_process():
    # Guards against a deposed leader that brings back former entries.
    leader, follower = make_view(ENTRIES, '2.1'), make_view(ENTRIES[1:], '3.1')
    follower.update(leader.reply(follower.versions()))
    assert follower.entries == ENTRIES[1:]
    assert follower.entries_version == '3.1'
