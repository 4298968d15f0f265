"""Tests of the end of an entry that drains."""

import asyncio
import time
import types

import attrs
import pytest

from bulrushhold import composition
from bulrushhold import settings


@pytest.fixture
def entry():
    address = settings.Address('127.0.0.1', 1)
    config = settings.Forwarding(
        'e1', 'dc', address, address, [address], grace_s=8.0, linger_s=0.1
    )
    created = composition.ForwardingEntry(config, None)
    created.fleet = types.SimpleNamespace(
        start_draining=lambda: None, follow=None
    )
    created.ingress = types.SimpleNamespace(
        in_progress=0, draining=False, stop_reading=lambda: None
    )
    created.proxy_server = types.SimpleNamespace(in_progress=0)
    created.forwarder = types.SimpleNamespace(closing=False)
    created.loops = types.SimpleNamespace(start=lambda name, loop: None)
    created.follow_task = types.SimpleNamespace(cancel=lambda: None)
    return created


async def test_an_entry_that_has_drained_accepts_nothing_more(entry):
    # Guards against a request that is sent on while connections are closed.
    async with asyncio.timeout(5.0):
        await entry.drain()
    assert entry.forwarder.closing


@pytest.mark.parametrize(
    ('grace_s', 'pause_at_s', 'ends_within_s'),
    [(2.0, 0.9, (0.0, 1.5)), (3.0, 0.1, (2.5, 2.9))],
)
async def test_an_entry_that_is_busy_at_its_end_leaves_more_time_for_answers(
    entry, grace_s, pause_at_s, ends_within_s
):
    # Guards against a process that is killed before it has answered.
    entry.config = attrs.evolve(entry.config, grace_s=grace_s)
    entry.ingress.in_progress = 1
    asyncio.get_running_loop().call_later(pause_at_s, time.sleep, 0.15)
    started_at = time.monotonic()
    async with asyncio.timeout(5.0):
        await entry.drain()
    earliest_s, latest_s = ends_within_s
    assert earliest_s < time.monotonic() - started_at < latest_s


async def test_an_entry_that_was_paused_near_its_end_still_answers(entry):
    # Guards against a drain that ends as it wakes, with answers outstanding.
    entry.config = attrs.evolve(entry.config, grace_s=2.0)
    entry.ingress.in_progress = 1
    asyncio.get_running_loop().call_later(1.0, time.sleep, 0.45)
    started_at = time.monotonic()
    async with asyncio.timeout(5.0):
        await entry.drain()
    assert time.monotonic() - started_at > 1.55
