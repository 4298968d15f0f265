"""Tests of the checks of newly listed servers."""

import asyncio
import contextlib

import pytest

from bulrushhold import forwarding
from tests.forwarding import fakes

ADDRESSES = [f'10.0.0.{n}:80' for n in range(6)]


class CheckedClient(fakes.FakeClient):
    """Identifies some servers; ``None`` for those that don't answer."""

    def __init__(self):
        super().__init__()
        self.kinds = {}
        self.checks = []

    async def identify(self, address, timeout, instance):
        self.checks.append(address)
        return self.kinds.get(address, True)


@pytest.fixture
def checked():
    return CheckedClient()


@pytest.fixture
def clock():
    return Clock()


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


async def run_checks(checked, context, clock, seconds):
    """Run the checks for a time of the clock."""
    placement = context.placement
    for ident in list(placement.verification.verified):
        placement.verification.forget(ident)
    checks = forwarding.ServerChecks(checked, placement, clock)
    task = asyncio.ensure_future(checks.watch(lambda: ['engines', 'none']))
    end = clock.now + seconds
    while clock.now < end:
        clock.now += 0.2
        await asyncio.sleep(0)
        await asyncio.sleep(0.001)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    monkeypatch.setattr('bulrushhold.forwarding._serverchecks.INTERVAL_S', 0.0)


async def test_servers_are_verified_as_they_are_listed(
    checked, context, clock
):
    await run_checks(checked, context, clock, 2.0)
    assert context.placement.verification.verified == {
        f'i{n}' for n in range(6)
    }
    assert sorted(checked.checks) == ADDRESSES


async def test_what_is_no_server_is_checked_ever_more_rarely(
    checked, context, clock
):
    # Guards against a listed address that all entries ask for ever.
    checked.kinds = {ADDRESSES[0]: False}
    await run_checks(checked, context, clock, 60.0)
    assert context.placement.verification.strangers == {'i0'}
    assert 3 <= checked.checks.count(ADDRESSES[0]) <= 13


async def test_a_check_without_an_answer_shows_nothing(
    checked, context, clock
):
    # Guards against busy servers that are left for a slow answer.
    checked.kinds = {ADDRESSES[0]: None}
    await run_checks(checked, context, clock, 0.6)
    assert checked.checks.count(ADDRESSES[0]) == 1
    assert context.placement.verification.strangers == set()


async def test_what_stays_silent_gets_no_request_that_runs_once(
    checked, context, clock
):
    # Guards against a booking that waits for ever where nobody answers.
    checked.kinds = {ADDRESSES[0]: None}
    await run_checks(checked, context, clock, 2.0)
    assert context.placement.verification.strangers == {'i0'}


async def test_a_server_that_listens_late_is_verified_then(
    checked, context, clock
):
    # Guards against new servers that stay unused.
    checked.kinds = {ADDRESSES[0]: False}
    await run_checks(checked, context, clock, 2.0)
    checked.kinds = {}
    await run_checks(checked, context, clock, 5.0)
    assert 'i0' in context.placement.verification.verified
    assert context.placement.verification.strangers == set()
