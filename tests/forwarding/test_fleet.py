"""Tests of the entry's cluster view, and of requests without a route map."""

import asyncio
import itertools
import random
import time

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes
from tests.forwarding import fakes


async def test_a_request_at_a_starting_entry_waits_for_the_map(
    client, context, fleet
):
    # Guards against refusals after a cold start, just before the map arrives.
    client.scripts = [fakes.Script()]
    forwarder = forwarding.Forwarder(fleet, context)
    call = fakes.make_job(context, routes.Kind.IDEMPOTENT).call
    run = asyncio.ensure_future(forwarder.handle(call, fakes.FakeCaller()))
    await asyncio.sleep(0.05)
    fleet._apply_reply(fakes.make_reply())
    assert (await run).status == 200


async def test_without_a_map_requests_are_refused_as_not_run(context, fleet):
    forwarder = forwarding.Forwarder(fleet, context)
    call = fakes.make_job(context, routes.Kind.ONCE, timeout_s=0.1).call
    with pytest.raises(errors.RequestError) as caught:
        await forwarder.handle(call, fakes.FakeCaller())
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO


@pytest.mark.parametrize(('run_s', 'served'), [(1.0, True), (7.0, False)])
async def test_a_draining_entry_refuses_streams_it_cannot_finish(
    client, context, fleet, run_s, served
):
    # Guards against streams that are aborted midway as the process exits.
    fleet._apply_reply(fakes.make_reply(kind=routes.Kind.STREAM))
    forwarder = forwarding.Forwarder(fleet, context)
    forwarder.drain_deadline = context.clock() + 5.0
    context.placement.speeds.record_run('engines', run_s, context.clock())
    client.scripts = [fakes.Script(events=(1, 2))]
    call = fakes.make_job(context, routes.Kind.STREAM).call
    caller = fakes.FakeCaller()
    if served:
        await forwarder.handle(call, caller)
        assert caller.ended
        return
    with pytest.raises(errors.RequestError) as caught:
        await forwarder.handle(call, caller)
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after < 0.1
    assert client.log == []


async def test_an_older_map_is_ignored(fleet):
    fleet._apply_reply(fakes.make_reply(5))
    fleet._apply_reply(fakes.make_reply(4))
    assert fleet.map_version == 5


def full_list(entries):
    codec = messages.ENTRY_LIST
    return messages.ListUpdate(codec.digest(entries), codec.pack(entries))


@pytest.mark.parametrize('versions', [('v1.0-1', 'v1.0.1'), ('a:b', 'a.b')])
async def test_versions_that_differ_in_punctuation_keep_the_map_current(
    fleet, versions
):
    # Guards against the end of the loop that follows control, for a metric.
    metrics = node.make_prometheus_metrics('test_versions')
    gauges = forwarding.VersionGauges(fleet.placement, metrics)
    fleet.on_change.append(gauges.update)
    listed = decisions.BackendList.of(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', 'dc', 4, False, version
            )
            for n, version in enumerate(versions)
        ]
    )
    update = messages.ListUpdate(
        listed.digest, messages.BACKEND_LIST.pack(listed.items)
    )
    fleet._apply_reply(
        fakes.make_reply(1, backends=update, backends_version='1.1')
    )
    fleet._apply_reply(fakes.make_reply(2))
    assert fleet.map_version == 2


async def test_services_that_differ_in_punctuation_keep_the_map_current(fleet):
    # Guards against the end of the loop that follows control, for a metric.
    metrics = node.make_prometheus_metrics('test_services')
    gauges = forwarding.RetryGauges(fleet.budget, metrics)
    fleet.on_change.append(gauges.update)
    for service in ('desk-a', 'desk.a'):
        fleet.budget.count_request(service, time.monotonic())
    fleet._apply_reply(fakes.make_reply(1))
    fleet._apply_reply(fakes.make_reply(2))
    assert fleet.map_version == 2


async def test_addresses_stay_available_without_control(fleet):
    entries = [
        messages.ListedEntry(f'e{n}', 'dc', f'10.0.1.{n}:80', n != 3)
        for n in range(1, 5)
    ]
    fleet._apply_reply(
        fakes.make_reply(
            entries_version='1.1',
            entries=full_list(entries),
            backends_version='1.1',
            backends=messages.ListUpdate(
                messages.BACKEND_LIST.digest([]),
                messages.BACKEND_LIST.pack([]),
            ),
        )
    )
    fleet._apply_reply(messages.WatchReply('done'))
    assert sorted(fleet.addresses(64)) == [
        '10.0.1.1:80',
        '10.0.1.2:80',
        '10.0.1.4:80',
    ]
    assert len(fleet.addresses(2)) == 2
    fleet.start_draining()
    assert '10.0.1.1:80' not in fleet.addresses(64)


async def test_a_failed_control_process_is_not_retried_immediately(fleet):
    # Guards against repeated timeouts at a frozen leader, which delay new
    # route maps.
    fleet.seeds = ['frozen', 'b', 'c']
    requested = []
    requested_at = []

    async def poll(address):
        requested.append(address)
        if address == 'frozen':
            requested_at.append(time.monotonic())
        if address == 'frozen' and len(requested) < 40:
            raise errors.PeerError('no answer')
        fleet.leader = ''
        if len(requested) >= 40:
            raise asyncio.CancelledError

    fleet._poll = poll
    with pytest.raises(asyncio.CancelledError):
        await fleet.follow()
    intervals = [b - a for a, b in itertools.pairwise(requested_at)]
    assert all(seconds >= 2.0 for seconds in intervals)


def list_entries(fleet, **fields):
    weights = {'weight': 0.5, **fields}
    entries = [
        messages.ListedEntry(f'e{n}', 'dc', f'10.0.1.{n}:80', True)
        for n in range(2, 40)
    ]
    entries += [
        attrs.evolve(entries[0], name='e40', callers='e40:80', **weights)
    ]
    fleet._apply_reply(
        fakes.make_reply(entries_version='1.1', entries=full_list(entries))
    )
    return entries


async def test_equal_entries_are_drawn_as_before(fleet):
    # Guards against other random draws where capacities don't differ.
    entries = list_entries(fleet, has_disk=True, load_factor=0.5)
    random.seed(7)
    found = fleet.addresses(64, 'caller')
    expected = [*(entry.callers for entry in entries), '10.0.1.1:80']
    random.seed(7)
    random.shuffle(expected)
    assert found == expected


async def test_a_caller_gets_the_same_entries_each_time(fleet):
    # Guards against callers who leave open connections again and again.
    list_entries(fleet)
    first = set(fleet.addresses(10, 'caller'))
    assert len(first) == 10
    assert set(fleet.addresses(10, 'caller')) == first
    assert set(fleet.addresses(10, 'other')) != first


@pytest.mark.parametrize('differs', [True, False])
async def test_an_overloaded_entry_asks_for_fewer_callers(fleet, differs):
    list_entries(fleet, **({} if differs else {'weight': 1.0}))
    now = 0.0
    monitor = forwarding.EntryLoadMonitor(
        fleet,
        0.5,
        0,
        lambda: 0.0,
        node.NullMetrics(),
        lambda: now,
        lambda: now * 0.45,
    )
    for now in (1.0, 2.0, 3.0):  # noqa: B007
        monitor.check()
    factor = fleet._poll_request().entry.load_factor
    assert factor == (0.5 if differs else 1.0)


async def test_weights_bring_back_no_entry_that_leaves(fleet):
    # Guards against callers at entries that drain or reach no server.
    entries = list_entries(fleet)
    fleet._apply_reply(fakes.make_reply(2))
    entries[0] = attrs.evolve(entries[0], ready=False)
    entries[1] = attrs.evolve(
        entries[1], unreachable=tuple(fleet.placement.services)
    )
    fleet.listed_entries = decisions.EntryList.of(entries)
    fleet.start_draining()
    found = {
        address
        for number in range(30)
        for address in fleet.addresses(64, f'caller {number}')
    }
    assert found == {e.callers for e in entries if e.ready} - {'10.0.1.3:80'}


async def test_a_reply_that_waited_during_a_pause_is_not_new(fleet):
    # Guards against an entry that takes what it missed for complete.
    class PausedTransport(fakes.FakeTransport):
        def request(self, address, message, timeout):
            del address, message, timeout
            reply = fakes.make_reply(
                backends_version='1.1',
                backends_age_s=0.5,
            )
            time.sleep(0.4)
            return asyncio.sleep(0, reply)

    fleet.backends_version = '1.1'
    fleet.transport = PausedTransport()
    requested_at = time.monotonic()
    await fleet._poll('10.0.2.1:70')
    known_versions = fleet.placement.known_versions
    assert known_versions.listed_at <= requested_at - 0.5 + 0.1
    assert known_versions.complete_at <= requested_at + 0.1


@pytest.mark.parametrize('suspended_s', [0.0, 60.0])
async def test_lists_before_and_after_a_suspension_do_not_follow_one_another(
    fleet, monkeypatch, suspended_s
):
    # Guards against versions that came and left while clocks stood still.
    module = 'bulrushhold.forwarding._fleet'
    monkeypatch.setattr(f'{module}.FIRST_LIST_DELAY_S', 0.01)
    known_versions = fleet.placement.known_versions
    known_versions.on_control_reply(time.monotonic() - 1.0)
    fetched = asyncio.Event()

    class Listed:
        async def fetch(self):
            fetched.set()
            return []

    fleet.backend_list = Listed()
    boot_time = node.boot_time
    monkeypatch.setattr(node, 'boot_time', lambda: boot_time() + suspended_s)
    polling = asyncio.ensure_future(fleet.poll_backend_list())
    await fetched.wait()
    await asyncio.sleep(0.01)
    polling.cancel()
    is_complete = known_versions.complete_at > time.monotonic() - 0.9
    assert is_complete is not bool(suspended_s)
