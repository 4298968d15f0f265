"""The list of entries in watch replies, without a network."""

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold.control import _listhistory
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages

ENTRIES = [
    messages.ListedEntry(f'e{n:02}', 'dc', f'10.0.0.{n}:80', True)
    for n in range(40)
]


def make_view(entries=(), version='1.1'):
    view = _clusterview.ClusterView(lambda: 0.0)
    set_entries(view, entries, version)
    return view


def set_entries(view, entries, version):
    # Copies, as each heartbeat is decoded to another object.
    entries = [attrs.evolve(entry) for entry in entries]
    view.set_entries(decisions.EntryList.of(entries), version)


def update_for(view, digest):
    return view.reply(messages.Known(entries_digest=digest)).entries


def overloaded(entries, *indices):
    return [
        attrs.evolve(entry, load_factor=0.5 if n in indices else 1.0)
        for n, entry in enumerate(entries)
    ]


# Encoding


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
    packed = messages.ENTRY_LIST.pack(entries)
    assert messages.ENTRY_LIST.unpack(packed) == entries


@pytest.mark.parametrize(
    'data', [b'', b'x', messages.ENTRY_LIST.pack([])[:-1]]
)
def test_malformed_lists_and_splices_are_rejected(data):
    with pytest.raises(errors.PeerError):
        messages.ENTRY_LIST.unpack(data)
    with pytest.raises(errors.PeerError):
        messages.ENTRY_LIST.unpack_splices(data)


def test_a_digest_tells_order_and_fields():
    # Guards against a difference that is applied to a similar list.
    digests = {
        messages.ENTRY_LIST.digest(entries)
        for entries in (
            ENTRIES,
            ENTRIES[::-1],
            ENTRIES[1:],
            overloaded(ENTRIES, 5),
            [attrs.evolve(ENTRIES[0], unreachable=('s',)), *ENTRIES[1:]],
        )
    }
    assert len(digests) == 5


def test_a_decoded_list_has_the_digest_of_its_sender():
    # Guards against full lists because numbers change their type.
    entry = messages.ListedEntry(
        'e', 'dc', '10.0.0.1:80', True, unreachable=('s',), weight=2.0
    )
    sent = decisions.EntryList.of([entry])
    packed = messages.ENTRY_LIST.pack(sent.items)
    received = decisions.EntryList([], b'').updated(
        messages.ListUpdate(sent.digest, packed)
    )
    assert received == sent


# What a control process sends


def test_replies_share_one_encoded_update():
    # Guards against encoding the list once more for each entry.
    view = make_view(ENTRIES)
    base = view.entries_digest
    full = update_for(view, b'')
    assert update_for(view, b'unknown') is full
    set_entries(view, overloaded(ENTRIES, 1), '1.2')
    assert update_for(view, b'') is not full
    assert update_for(view, base) is update_for(view, base)


def test_an_entry_gets_what_changed_since_its_list():
    view = make_view(ENTRIES)
    base = view.entries_digest
    set_entries(view, overloaded(ENTRIES, 1), '1.2')
    update = update_for(view, base)
    assert (update.base, update.digest) == (base, view.entries_digest)
    splices = messages.ENTRY_LIST.unpack_splices(update.packed)
    assert splices == [messages.ListSplice(1, 2, [overloaded(ENTRIES, 1)[1]])]


def test_after_a_lost_reply_the_next_one_holds_both_changes():
    view = make_view(ENTRIES)
    before = decisions.EntryList.of(ENTRIES)
    set_entries(view, overloaded(ENTRIES, 1), '1.2')
    update_for(view, before.digest)
    set_entries(view, overloaded(ENTRIES, 1, 7), '1.3')
    update = update_for(view, before.digest)
    assert update.base == before.digest
    assert before.updated(update).items == overloaded(ENTRIES, 1, 7)


def test_a_restarted_process_sends_the_full_list():
    # Guards against versions that a new log gives to other lists.
    digest = make_view(ENTRIES, '1.1').entries_digest
    restarted = make_view(ENTRIES[3:], '1.1')
    set_entries(restarted, ENTRIES[4:], '1.2')
    known = messages.Known(entries='1.1', entries_digest=digest)
    update = restarted.reply(known).entries
    assert update.base == b''
    assert messages.ENTRY_LIST.unpack(update.packed) == ENTRIES[4:]


def test_a_list_that_is_no_longer_kept_is_unknown():
    view = make_view(ENTRIES)
    base = view.entries_digest
    for number in range(1, _listhistory.MAX_LISTS):
        set_entries(view, overloaded(ENTRIES, number), f'1.{number + 1}')
    assert update_for(view, base).base == base
    set_entries(view, ENTRIES[1:], '1.99')
    assert update_for(view, base).base == b''


def test_an_equal_list_of_a_new_term_is_sent_without_entries():
    view = make_view(ENTRIES)
    set_entries(view, ENTRIES, '2.1')
    update = update_for(view, view.entries_digest)
    assert messages.ENTRY_LIST.unpack_splices(update.packed) == []
    assert update.base == update.digest


# What its receivers do


def test_a_control_process_copies_the_leaders_list():
    leader, follower = make_view(ENTRIES), make_view(version='')
    follower.update(leader.reply(follower.versions()), 0.0)
    set_entries(leader, overloaded(ENTRIES, 2), '1.2')
    reply = leader.reply(follower.versions())
    assert reply.entries.base
    follower.update(reply, 0.0)
    assert follower.entries == overloaded(ENTRIES, 2)
    assert follower.versions() == leader.versions()
    assert leader.reply(follower.versions()).entries is None


def test_a_control_process_asks_for_the_full_list_if_none_applies():
    leader, follower = make_view(ENTRIES), make_view(ENTRIES[1:])
    base = leader.entries_digest
    set_entries(leader, overloaded(ENTRIES, 2), '1.2')
    known = messages.Known(entries='1.1', entries_digest=base)
    follower.update(leader.reply(known), 0.0)
    assert (follower.entries, follower.entries_version) == (
        ENTRIES[1:],
        '1.1',
    )
    follower.update(leader.reply(follower.versions()), 0.0)
    assert follower.entries == overloaded(ENTRIES, 2)
    assert follower.versions() == leader.versions()


def test_an_older_list_is_ignored_by_a_control_process():
    # Guards against a deposed leader that brings back former entries.
    leader, follower = make_view(ENTRIES, '2.1'), make_view(ENTRIES[1:], '3.1')
    before = follower.versions()
    follower.update(leader.reply(follower.versions()), 0.0)
    assert follower.entries == ENTRIES[1:]
    assert follower.versions() == before
