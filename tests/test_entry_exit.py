"""Tests of the requests that an entry has accepted as it drains and exits."""

import asyncio
import contextlib
import json

import pytest

from bulrushhold.entry import _eventstream
from tests import conftest
from tests import test_generations as generations
from tests import test_services as services

CHAT = '/v1/chat/completions'
BOOKING = '/v1/services/booking/slots'
PAST_DRAIN_CHECKS_S = 0.3


def chat_body(**fields):
    return json.dumps(
        {
            'model': 'small',
            'messages': conftest.PROMPT,
            'max_tokens': 100,
            **fields,
        }
    ).encode()


BODIES = {CHAT: chat_body(), BOOKING: b'{"slot": "oven-1"}'}


class SlowCaller:
    """Sends the end of a request's body only when it is told to."""

    def __init__(self, system, path):
        self.address, _ = system.addresses['e1']
        self.path = path
        self.body = BODIES[path]

    async def start(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        head = (
            f'POST {self.path} HTTP/1.1\r\nHost: e1\r\n'
            f'Content-Length: {len(self.body)}\r\n'
            'Content-Type: application/json\r\n'
            f'Idempotency-Key: {services.make_key()}\r\n'
            'Bulrushhold-Account: vendors\r\n\r\n'
        )
        self.writer.write(head.encode() + self.body[:-5])
        await asyncio.sleep(0.1)

    def finish(self):
        self.writer.write(self.body[-5:])

    async def response(self):
        """Return status and body; a connection closed unanswered fails."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        body = await self.reader.readexactly(length)
        self.writer.close()
        return int(head.split()[1]), json.loads(body)


def post(system, path, **headers):
    """Start a request through e1; return a task."""
    return asyncio.ensure_future(
        system.post(
            path,
            BODIES[path],
            Bulrushhold_Account='vendors',
            Idempotency_Key=services.make_key(),
            **headers,
        )
    )


@contextlib.asynccontextmanager
async def draining(system):
    """Drain e1, which must wait for all that happens in the context."""
    drain = asyncio.ensure_future(system.entries['e1'].drain())
    await asyncio.sleep(PAST_DRAIN_CHECKS_S)
    assert not drain.done()
    yield
    async with asyncio.timeout(5.0):
        await drain


async def exit_after_drain(system):
    """Drain and close e1, as its process does after SIGTERM."""
    entry = system.entries.pop('e1')
    await entry.drain()
    await entry.close()


def block(monkeypatch, owner, name):
    """Make a coroutine function wait for the returned event."""
    released = asyncio.Event()
    original = getattr(owner, name)

    async def wait(*args, **options):
        await released.wait()
        return await original(*args, **options)

    monkeypatch.setattr(owner, name, wait)
    return released


@pytest.mark.parametrize('path', BODIES)
async def test_a_drain_waits_for_a_body_that_is_being_received(system, path):
    # Guards against an exit that cuts a request that was accepted.
    caller = SlowCaller(system, path)
    await caller.start()
    async with draining(system):
        caller.finish()
        status, _ = await caller.response()
    assert status == 200


@pytest.mark.parametrize('path', BODIES)
async def test_a_draining_entry_refuses_without_waiting_for_the_body(
    system, path
):
    # Guards against a refusal that comes only once it isn't needed any more.
    system.entries['e1'].server.draining = True
    caller = SlowCaller(system, path)
    await caller.start()
    async with asyncio.timeout(2.0):
        status, answer = await caller.response()
    assert (status, answer['error']['ran']) == (503, 'no')


async def test_a_drain_waits_for_a_call_without_its_slot(system, monkeypatch):
    # Guards against an exit that cuts a call before it is sent.
    granted = block(
        monkeypatch, system.entries['e1'].admission, 'acquire_call'
    )
    call = post(system, BOOKING)
    await asyncio.sleep(0.1)
    async with draining(system):
        granted.set()
        status, _, _ = await call
    assert status == 200


async def test_a_drain_waits_for_the_rest_of_a_finished_stream(
    system, monkeypatch
):
    # Guards against an answer without its end for a caller who reads slowly.
    sent = block(monkeypatch, _eventstream.CallerStream, '_flush')
    reading = asyncio.ensure_future(generations.read(system.client()))
    entry = system.entries['e1']
    await conftest.wait_until(lambda: entry.registry.generations)
    await conftest.wait_until(lambda: not entry.registry.running)
    async with draining(system):
        sent.set()
        conftest.assert_complete(await reading, 40)


async def test_a_drain_waits_for_a_call_whose_caller_has_left(system):
    # Guards against a claim that stays open, so that its key can't be used.
    system.booking.delay_s = 1.0
    key = services.make_key()
    call = services.start_booking(system, key)
    await conftest.wait_until(lambda: system.booking.booking_counts)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    async with draining(system):
        pass
    claim = system.control.state.claims.records[f'vendors/{key}']
    assert claim.state == 'done'


async def test_a_drain_waits_for_outcomes_that_are_being_recorded(system):
    # Guards against a call whose outcome its caller can't learn again.
    system.booking.delay_s = 0.5
    key = services.make_key()
    call = services.start_booking(system, key)
    await conftest.wait_until(lambda: system.booking.booking_counts)
    await system.stop_control()
    status, _, _ = await call
    assert status == 200
    async with draining(system):
        await system.restart_control()
    claim = system.control.state.claims.records[f'vendors/{key}']
    assert claim.state == 'done'
