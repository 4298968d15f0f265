"""What the client library reports when a call's tries end differently."""

import itertools
import time

from aiohttp import web
import pytest
import pytest_asyncio

from bulrushhold import client
from bulrushhold import errors
from bulrushhold import testing

NOT_RUN = {
    'error': {
        'ran': 'no',
        'step': 'entry',
        'peer': '',
        'reason': 'this entry is draining',
    }
}
CLOSED = {'error': {**NOT_RUN['error'], 'step': 'claim'}}


class FakeEntry:
    """An entry that answers calls with the given handlers, one after another.

    The last handler answers all further calls.
    """

    def __init__(self, handlers):
        self.handlers = handlers
        (self.port,) = testing.free_ports(1)

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self):
        app = web.Application()
        app.router.add_get('/v1/entries', self.list_entries)
        app.router.add_post('/v1/services/{path:.*}', self.call)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', self.port).start()

    async def list_entries(self, request):
        answer = {'entries': [self.address], 'keep_s': 60.0}
        return web.json_response(answer)

    async def call(self, request):
        await request.read()
        handler = self.handlers[0]
        if len(self.handlers) > 1:
            self.handlers.pop(0)
        return handler(request)


def break_connection(request):
    request.transport.abort()
    return web.Response()


def refuse(request):
    return web.json_response(NOT_RUN, status=503)


def report_closed_claim(request):
    return web.json_response(CLOSED, status=409)


@pytest_asyncio.fixture
async def book():
    """Book at an entry with the given handlers; return the error."""
    entries = []

    async def call(*handlers):
        entry = FakeEntry(list(handlers))
        entries.append(entry)
        await entry.start()
        caller = client.Client('vendors', [entry.address], deadline_s=1.0)
        async with caller:
            with pytest.raises(errors.RequestError) as caught:
                await caller.call('booking', 'slots', method='POST', body={})
        return caught.value

    yield call
    for entry in entries:
        await entry.runner.cleanup()


async def test_a_refused_retry_does_not_tell_that_the_first_try_has_not_run(
    book,
):
    # The first try may have booked; told "not run", the caller books twice.
    error = await book(break_connection, refuse)
    assert error.ran is errors.Ran.UNKNOWN


async def test_a_call_refused_at_each_try_has_not_run(book):
    error = await book(refuse)
    assert error.ran is errors.Ran.NO


async def test_a_closed_claim_tells_that_no_try_has_run(book):
    error = await book(break_connection, report_closed_claim)
    assert error.ran is errors.Ran.NO


def refuse_for(seconds):
    def handler(request):
        error = {**NOT_RUN['error'], 'retry_after': seconds}
        return web.json_response({'error': error}, status=503)

    return handler


class CountingEntry(FakeEntry):
    """An entry that records when it was called, and knows its peers."""

    def __init__(self, handlers):
        super().__init__(handlers)
        self.called_at = []
        self.peers = [self]

    async def list_entries(self, request):
        addresses = [peer.address for peer in self.peers]
        return web.json_response({'entries': addresses, 'keep_s': 60.0})

    async def call(self, request):
        self.called_at.append(time.monotonic())
        return await super().call(request)


@pytest_asyncio.fixture
async def start_entries():
    entries = []

    async def start(*handlers):
        entries.extend(CountingEntry([handler]) for handler in handlers)
        for entry in entries:
            entry.peers = entries
            await entry.start()
        return entries

    yield start
    for entry in entries:
        await entry.runner.cleanup()


async def test_an_entry_is_not_called_again_before_its_retry_after(
    start_entries,
):
    # Guards against retries at the client's own pace.
    (entry,) = await start_entries(refuse_for(0.7))
    caller = client.Client('vendors', [entry.address], deadline_s=1.0)
    async with caller:
        with pytest.raises(errors.RequestError) as caught:
            await caller.call('booking', 'slots', method='POST', body={})
    assert caught.value.status == 503
    pauses = [b - a for a, b in itertools.pairwise(entry.called_at)]
    assert pauses
    assert min(pauses) >= 0.7


async def test_a_call_does_not_wait_for_a_time_after_its_deadline(
    start_entries,
):
    # Guards against a caller that waits although nobody can serve it in time.
    (entry,) = await start_entries(refuse_for(30.0))
    started = time.monotonic()
    caller = client.Client('vendors', [entry.address], deadline_s=2.0)
    async with caller:
        with pytest.raises(errors.RequestError) as caught:
            await caller.call('booking', 'slots', method='POST', body={})
    assert time.monotonic() - started < 1.0
    assert caught.value.retry_after == 30.0
    assert len(entry.called_at) == 1


async def test_another_entry_is_called_while_one_wants_no_calls(
    start_entries,
):
    def serve(request):
        return web.json_response({'booked': True})

    first, second = await start_entries(refuse_for(30.0), serve)
    caller = client.Client('vendors', [first.address], deadline_s=2.0)
    async with caller:
        answer = await caller.call('booking', 'slots', method='POST', body={})
    assert answer.status == 200
    assert second.called_at[0] - first.called_at[0] < 0.5
