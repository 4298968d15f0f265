"""Tests of the requests that an entry has accepted as it drains and exits."""

import asyncio
import contextlib
import json
import random
import socket

import aiohttp
import pytest

from bulrushhold.composition import _entry
from bulrushhold.entry import _eventstream
from bulrushhold import errors
from bulrushhold import web as adapters
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


@pytest.fixture
async def system(make_system):
    """A system whose entries don't linger: what they wait for shows."""
    return await make_system(options={'linger_s': 0.01})


class SlowCaller:
    """Sends the end of a request's body only when it is told to."""

    def __init__(self, system, path):
        address, _ = system.addresses['e1']
        self.host_and_port = (address.host, address.port)
        self.body = BODIES[path]
        self.head = (
            f'POST {path} HTTP/1.1\r\nHost: e1\r\n'
            f'Content-Length: {len(self.body)}\r\n'
            'Content-Type: application/json\r\n'
            f'Idempotency-Key: {services.make_key()}\r\n'
            'Bulrushhold-Account: vendors\r\n\r\n'
        ).encode()

    async def start(self):
        await self.open(*self.host_and_port)
        self.writer.write(self.head + self.body[:-5])
        await asyncio.sleep(0.1)

    async def open(self, *address, **options):
        self.reader, self.writer = await asyncio.open_connection(
            *address, **options
        )

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


@pytest.mark.parametrize('path', BODIES)
async def test_requests_sent_together_are_all_answered_after_the_signal(
    system, path
):
    # Guards against a connection that is closed before what was read from it.
    system.entries['e1'].server.draining = True
    caller = SlowCaller(system, path)
    await caller.open(*caller.host_and_port)
    caller.writer.write(2 * (caller.head + caller.body))
    async with asyncio.timeout(2.0):
        answers = (await caller.reader.read()).lower()
    caller.writer.close()
    assert answers.count(b'http/1.1 503') == 2
    assert answers.count(b'connection: close') == 1


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


async def test_a_drain_waits_until_the_system_has_all_of_an_answer(
    system, monkeypatch
):
    # Guards against an exit that cuts the end of an answer to a slow reader.
    unsent = [1]
    monkeypatch.setattr(adapters, 'count_unsent', lambda server: unsent[0])
    async with draining(system):
        unsent[0] = 0


# What is left at the deadline of a drain, or at a second signal


@pytest.fixture
async def leaving_system(make_system, monkeypatch):
    """A system of one engine slot, whose entries drain for a moment."""
    monkeypatch.setattr(_entry, 'EXIT_GRACE_S', 0.2)
    return await make_system(
        engines=1, slots=1, gap_s=0.1, options={'drain_deadline_s': 0.3}
    )


def refusal(response):
    status, _, answer = response
    return status, answer['error']['ran']


@pytest.mark.parametrize('path', BODIES)
async def test_an_unfinished_body_is_answered_before_the_exit(
    leaving_system, path
):
    # Guards against a connection closed without an answer.
    caller = SlowCaller(leaving_system, path)
    await caller.start()
    await exit_after_drain(leaving_system)
    status, answer = await caller.response()
    assert (status, answer['error']['ran']) == (503, 'no')


@pytest.mark.parametrize('path', BODIES)
async def test_a_caller_who_connected_during_a_pause_is_answered(
    leaving_system, path
):
    # Guards against a busy entry that resets connections it hasn't accepted.
    entry = leaving_system.entries.pop('e1')
    await entry.drain()
    caller = SlowCaller(leaving_system, path)
    connection = socket.create_connection(caller.host_and_port)
    connection.sendall(caller.head + caller.body)
    await entry.close()
    await caller.open(sock=connection)
    status, answer = await caller.response()
    assert (status, answer['error']['ran']) == (503, 'no')


async def test_a_call_without_its_slot_is_answered_before_the_exit(
    leaving_system, monkeypatch
):
    # Guards against a connection closed without an answer.
    entry = leaving_system.entries['e1']
    block(monkeypatch, entry.admission, 'acquire_call')
    call = post(leaving_system, BOOKING)
    await asyncio.sleep(0.1)
    await exit_after_drain(leaving_system)
    assert refusal(await call) == (503, 'no')


@pytest.mark.parametrize('idempotent', [False, True])
async def test_a_call_at_its_service_is_answered_before_the_exit(
    leaving_system, idempotent
):
    # Guards against a connection closed without an answer.
    await leaving_system.edit(
        [conftest.row(work='booking/slots', idempotent=idempotent)], 1
    )
    leaving_system.booking.delay_s = 30.0
    call = post(leaving_system, BOOKING)
    await conftest.wait_until(lambda: leaving_system.booking.booking_counts)
    await exit_after_drain(leaving_system)
    assert refusal(await call) == (503, 'unknown')


async def test_generations_are_answered_before_the_exit(leaving_system):
    # Guards against a connection closed without an answer.
    engine = leaving_system.engines['m1']
    running = post(leaving_system, CHAT)
    await conftest.wait_until(lambda: engine.running)
    waiting = post(leaving_system, CHAT)
    admission = leaving_system.entries['e1'].admission
    await conftest.wait_until(lambda: admission.queue.waiting)
    await exit_after_drain(leaving_system)
    assert refusal(await running) in ((503, 'yes'), (503, 'unknown'))
    assert refusal(await waiting) == (503, 'no')
    assert engine.requests == 1


async def test_a_stream_ends_with_an_error_event_before_the_exit(
    leaving_system,
):
    # Guards against a stream that just stops.
    caller = leaving_system.client(deadline_s=0.0)
    tokens = []
    with pytest.raises(errors.RequestError) as caught:
        async for token in caller.generate('small', conftest.PROMPT):
            tokens.append(token)
            if len(tokens) == 1:
                leaving = asyncio.ensure_future(
                    exit_after_drain(leaving_system)
                )
    await leaving
    assert (caught.value.step, caught.value.ran) == ('entry', errors.Ran.YES)


async def test_an_exit_starts_no_generation_for_a_known_key(leaving_system):
    # Guards against a request that is accepted and cut at once.
    entry = leaving_system.entries['e1']
    key = services.make_key()
    headers = {'Bulrushhold_Account': 'vendors', 'Idempotency_Key': key}
    first = asyncio.ensure_future(
        leaving_system.post(CHAT, BODIES[CHAT], **headers)
    )
    await conftest.wait_until(lambda: entry.registry.running)
    entry.server.shut_down()
    assert refusal(await first)[0] == 503
    again = await leaving_system.post(CHAT, BODIES[CHAT], **headers)
    assert refusal(again) == (503, 'no')


async def test_a_stream_cut_by_an_exit_goes_on_at_another_entry(
    make_system, monkeypatch
):
    # Guards against a client that gives up where another entry serves it.
    monkeypatch.setattr(_entry, 'EXIT_GRACE_S', 0.2)
    system = await make_system(
        entries=2, gap_s=0.05, options={'drain_deadline_s': 0.2}
    )
    leaving = []

    async def leave(tokens):
        entry = system.entries.pop(generations.serving_entry(system))

        async def drain_and_close():
            await entry.drain()
            await entry.close()

        leaving.append(asyncio.ensure_future(drain_and_close()))

    tokens = await generations.read(system.client(), on={5: leave})
    conftest.assert_complete(tokens, 40)
    await leaving[0]


async def test_a_call_that_ends_soon_after_the_deadline_is_served(
    make_system,
):
    # Guards against an exit that is sooner than the answer it could give.
    system = await make_system(options={'drain_deadline_s': 0.1})
    system.booking.delay_s = 1.5
    call = post(system, BOOKING)
    await conftest.wait_until(lambda: system.booking.booking_counts)
    await exit_after_drain(system)
    status, _, _ = await call
    assert status == 200


async def send_until_refused(system, unanswered):
    """Send calls over one connection until the entry is known to leave.

    :param unanswered: gets the errors of calls that were sent in vain.
    """
    address, _ = system.addresses['e1']
    url = f'http://{address}/v1/services/booking/availability'
    headers = {'Bulrushhold-Account': 'vendors'}
    async with aiohttp.ClientSession() as session:
        session._retry_connection = False
        while True:
            try:
                async with session.post(url, headers=headers) as response:
                    await response.read()
                    if response.status == 503:
                        return
            except aiohttp.ClientConnectorError:
                return
            except aiohttp.ClientError as error:
                unanswered.append(error)
                return
            await asyncio.sleep(0.4 * random.random())


async def test_callers_on_open_connections_are_refused_as_an_entry_leaves(
    make_system,
):
    # Guards against requests that meet a connection which is being closed.
    system = await make_system()
    unanswered = []
    callers = [
        asyncio.ensure_future(send_until_refused(system, unanswered))
        for _ in range(100)
    ]
    await asyncio.sleep(0.5)
    await exit_after_drain(system)
    await asyncio.gather(*callers)
    assert unanswered == []


async def test_a_call_cut_by_an_exit_is_repeated_at_another_entry(
    make_system, monkeypatch
):
    # Guards against a client that gives up where another entry serves it.
    monkeypatch.setattr(_entry, 'EXIT_GRACE_S', 0.2)
    system = await make_system(
        entries=2, options={'drain_deadline_s': 0.2, 'linger_s': 0.01}
    )
    await system.edit([conftest.row(work='booking/slots')], 1)
    system.booking.delay_s = 10.0
    call = asyncio.ensure_future(services.book(system))
    await conftest.wait_until(lambda: system.booking.booking_counts)
    system.booking.delay_s = 0.0
    serving = next(
        name
        for name, entry in system.entries.items()
        if entry.server.calls_in_progress
    )
    entry = system.entries.pop(serving)
    await entry.drain()
    await entry.close()
    assert (await call).status == 200
