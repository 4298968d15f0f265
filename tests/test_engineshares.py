"""Entries that schedule streams on their share of the engines."""

import collections
import random

import pytest

from bulrushhold import decisions
from bulrushhold import forwarding
from bulrushhold import messages

MEMORY = 88_000
PROMPT = 8000
STREAM_MEMORY = PROMPT + 200
TOKEN_S = 1 / 8000
Status = messages.SchedulingStatus


def make_entries(count, weights=()):
    return [
        messages.ListedEntry(
            f'e{n:03}',
            'dc',
            f'10.0.1.{n}:80',
            True,
            weight=weights[n % len(weights)] if weights else 1.0,
        )
        for n in range(count)
    ]


def make_engines(count):
    return [f'i{n:03}' for n in range(count)]


def list_engines(idents, leaving=()):
    return [
        messages.ListedBackend(
            ident, 's', f'{ident}:80', 'dc', 16, ident in leaving
        )
        for ident in idents
    ]


def make_placement(engines):
    placement = decisions.Placement(random.Random(1), 'dc')
    placement.update(list_engines(engines))
    placement.capacity['s'] = MEMORY
    return placement


@pytest.mark.parametrize(
    ('entry_count', 'engine_count'),
    [(6, 8), (9, 1), (84, 90), (390, 600), (300, 7), (1, 5)],
)
def test_shares_of_all_entries_add_up_to_each_engine(
    entry_count, engine_count
):
    # Guards against an engine that two entries use in full.
    entries = make_entries(entry_count)
    engines = make_engines(engine_count)
    totals = collections.Counter()
    for entry in entries:
        totals.update(decisions.engine_shares(entry, entries, engines))
    assert set(totals) == set(engines)
    assert list(totals.values()) == pytest.approx([1.0] * engine_count)


def test_entries_of_larger_instances_own_more():
    # Guards against callers of large entries that find no engine.
    entries = make_entries(4, [1.0, 3.0])
    totals = [
        sum(decisions.engine_shares(e, entries, make_engines(16)).values())
        for e in entries
    ]
    assert totals == pytest.approx([2.0, 6.0, 2.0, 6.0])


def test_an_entry_that_isnt_listed_yet_owns_a_share():
    own, *others = make_entries(3)
    shares = decisions.engine_shares(own, others, make_engines(3))
    assert shares == pytest.approx({'i000': 1.0})


@pytest.mark.parametrize('entry_count', [3, 6, 9])
def test_no_engine_gets_more_than_its_memory_without_control(entry_count):
    # Guards against entries that fill the same engines without knowing it.
    engines, entries = make_engines(8), make_entries(entry_count)
    held = collections.Counter()
    for entry in entries:
        held.update(memory_granted(entry, entries, engines))
    assert max(held.values()) <= MEMORY
    assert sum(held.values()) > 0.6 * MEMORY * len(engines)


def memory_granted(own, entries, engines):
    """Return the memory that an entry uses of each engine if none ends."""
    now = [100.0]
    placement = make_placement(engines)
    local = forwarding.EngineShareScheduler(
        placement, lambda: own, lambda: entries, lambda: now[0]
    )
    queued = []
    for number in range(200):
        now[0] += 0.2
        local.ask(make_ask(number), TOKEN_S)
        queued.append(f't{number}')
        for ticket in list(queued):
            decision = local.poll('s', ticket, TOKEN_S)
            if decision.status is Status.QUEUED:
                continue
            queued.remove(ticket)
            if decision.engine:
                engine = placement.backends[decision.engine]
                engine.memory += STREAM_MEMORY
    return {e.ident: e.memory for e in placement.backends.values()}


def make_ask(number, **fields):
    fields = {'objective_s': 5.0, 'remaining_s': 25.0, **fields}
    return messages.StreamAsk(
        's',
        'e',
        f't{number}',
        f'f{number}',
        1,
        f'account-{number % 5}',
        PROMPT,
        STREAM_MEMORY,
        **fields,
    )


@pytest.fixture
def placement():
    return make_placement(make_engines(8))


def rooms(placement, now, entry_count=6):
    own, *others = make_entries(entry_count)
    shares = decisions.engine_shares(own, others, placement.backends)
    return {
        room.ident: room
        for room in decisions.owned_rooms(placement, 's', shares, now)
    }


def report(placement, now, **loads):
    placement.apply_loads(messages.LoadSummary(1, loads, []), now)


def test_streams_of_others_count_only_beyond_their_share(placement):
    # Guards against a memory limit that is met by each entry alone.
    within = messages.EngineLoad(0, 5, round(0.5 * MEMORY))
    beyond = messages.EngineLoad(0, 12, round(0.8 * MEMORY))
    report(placement, 0.0, i000=within, i001=beyond)
    owned = rooms(placement, 0.1)
    assert owned['i000'].memory == round(0.5 * MEMORY)
    shared = owned['i001']
    assert shared.share == pytest.approx(1 / 3)
    others = 2 / 3 * 0.85 * MEMORY
    assert shared.memory == pytest.approx(0.8 * MEMORY - others, abs=1)
    assert shared.memory_limit == int(MEMORY / 3)
    assert shared.slots == 5


def test_a_tiny_share_of_an_engine_has_a_memory_limit(placement):
    # Guards against a part of less than a token that counts as unlimited.
    [room] = decisions.owned_rooms(placement, 's', {'i000': 1e-5}, 1.0)
    assert room.memory_limit == 1


def test_outdated_reports_count_until_the_streams_have_ended(placement):
    # Guards against an engine that seems full for the whole outage.
    report(placement, 0.0, i000=messages.EngineLoad(0, 8, 70_000))
    memory = [rooms(placement, now)['i000'].memory for now in (0.1, 3.0, 9.0)]
    assert memory[0] == 70_000
    assert 0 < memory[1] < 70_000
    assert memory[2] == 0


def test_lost_and_leaving_engines_arent_used(placement):
    placement.record_failure('i000', 1.0, unreachable=True)
    assert set(rooms(placement, 1.1)) == {'i001'}
    placement.update(list_engines(placement.backends, leaving=['i001']))
    assert not rooms(placement, 1.1)


def test_a_stream_that_a_home_had_queued_isnt_refused(placement):
    # Guards against a refusal seconds after the arrival.
    entries = make_entries(6)
    local = forwarding.EngineShareScheduler(
        placement, lambda: entries[0], lambda: entries, lambda: 1.0
    )
    statuses = collections.Counter(
        local.ask(make_ask(n, objective_s=0.5), TOKEN_S).status
        for n in range(20)
    )
    assert statuses[Status.REFUSED] > 0
    late = make_ask(30, objective_s=-1.0, remaining_s=15.0, committed=True)
    assert local.ask(late, TOKEN_S).status is Status.QUEUED


def test_an_entry_with_a_tiny_share_doesnt_decide_by_it(placement):
    # Guards against a service with few engines that refuses all streams.
    entries = make_entries(300)
    local = forwarding.EngineShareScheduler(
        placement, lambda: entries[0], lambda: entries, lambda: 1.0
    )
    assert not local.can_hold('s', STREAM_MEMORY)
    assert local.can_hold('s', 1000)


def test_an_engine_whose_grant_isnt_used_is_granted_again(placement):
    # Guards against an owned engine that idles for work / share seconds.
    now = [1.0]
    entries = make_entries(32)
    local = forwarding.EngineShareScheduler(
        placement, lambda: entries[0], lambda: entries, lambda: now[0]
    )
    assert local.ask(make_ask(1), TOKEN_S).status is Status.GRANTED
    queued = local.ask(make_ask(2, committed=True), TOKEN_S)
    assert queued.status is Status.QUEUED
    local.cancel('s', 't1')
    for _ in range(3):
        now[0] += 0.1
        decision = local.poll('s', 't2', TOKEN_S)
    assert decision.status is Status.GRANTED
    # A grant that is used isn't followed by another one at once.
    assert local.ask(make_ask(3), TOKEN_S).status is not Status.GRANTED


def test_a_committed_stream_isnt_refused_after_a_loss_of_engines(placement):
    # Guards against a refusal seconds after the arrival.
    now = [1.0]
    entries = make_entries(6)
    local = forwarding.EngineShareScheduler(
        placement, lambda: entries[0], lambda: entries, lambda: now[0]
    )
    options = {'objective_s': 2.0, 'remaining_s': 20.0, 'committed': True}
    tickets = [f't{number}' for number in range(8)]
    for number in range(8):
        local.ask(make_ask(number, **options), TOKEN_S)
    placement.record_failure('i000', now[0], unreachable=True)
    for _ in range(4):
        now[0] += 0.1
        statuses = [local.poll('s', t, TOKEN_S).status for t in tickets]
    assert Status.REFUSED not in statuses
    assert Status.QUEUED in statuses


@pytest.mark.parametrize('pause_s', [12.0, 60.0])
def test_grants_of_an_earlier_outage_dont_tell_the_capacity(
    placement, pause_s
):
    # Guards against full engines that seem to take no streams: between two
    # outages the home grants, which the entry's scheduler doesn't count.
    now = [1.0]
    local = forwarding.EngineShareScheduler(
        placement, lambda: make_entries(1)[0], list, lambda: now[0]
    )
    for number in range(20):
        now[0] += 0.5
        local.ask(make_ask(number), TOKEN_S)
    now[0] += pause_s
    for engine in placement.backends.values():
        engine.memory = round(0.8 * MEMORY)
    local.ask(make_ask(20), TOKEN_S)
    ledger = local.services['s'].scheduler.ledger
    assert ledger.capacity == pytest.approx(ledger.speed)


def test_streams_keep_their_place_while_the_entry_is_suspended(placement):
    # Guards against a queue that is lost to one late poll: the entry cancels
    # its streams itself.
    now = [1.0]
    entries = make_entries(8)
    local = forwarding.EngineShareScheduler(
        placement, lambda: entries[0], lambda: entries, lambda: now[0]
    )
    queued = [
        f't{number}'
        for number in range(10)
        if local.ask(make_ask(number, objective_s=20.0), TOKEN_S).status
        is Status.QUEUED
    ]
    placement.backends['i000'].reading = 4 * PROMPT
    now[0] += 1.5
    statuses = {local.poll('s', t, TOKEN_S).status for t in queued}
    assert len(queued) > 2
    assert statuses == {Status.QUEUED}
    for ticket in queued:
        local.cancel('s', ticket)
    assert not local.services['s'].scheduler.streams.keys() & set(queued)
