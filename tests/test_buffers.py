"""Tests of the bound on the bodies that an entry holds in memory."""

import asyncio
import contextlib
import json
import socket
import sys
import time

import attrs
import pytest
import pytest_asyncio

from bulrushhold import node
from bulrushhold.web import _buffers

MB = 1 << 20
LARGE_BYTES = 4 * MB
MEMORY_MB = 128
READERS = 200
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class Body(_buffers.Holder):
    def __init__(self, budget, size=0):
        super().__init__(budget)
        budget.holders.add(self)
        self.size = size
        self.granted = 0
        self.ended = False

    def wanted(self):
        return self.size

    def on_granted(self, count):
        self.granted += count

    def end_stalled(self):
        self.ended = True


@pytest.fixture
def budget():
    return _buffers.BufferBudget(10 * MB, node.NullMetrics(), Clock())


def test_freed_memory_goes_to_the_body_that_waits_longest(budget):
    # Guards against a response that its server aborts, as later ones pass it.
    first = Body(budget)
    assert first.try_read_ahead(3 * MB)
    waiting = [Body(budget, MB), Body(budget, MB), Body(budget, MB)]
    for body in waiting:
        body.wait()
    assert not Body(budget).try_read_ahead(1)
    first.resize(2 * MB, 2 * MB)
    assert [body.granted for body in waiting] == [MB, 0, 0]
    first.release()
    assert [body.granted for body in waiting] == [MB, MB, MB]
    for body in waiting:
        body.release()
    assert (budget.used, budget.ahead) == (0, 0)


def test_responses_alone_lead_to_no_refusals(budget):
    while Body(budget).try_read_ahead(MB // 2):
        pass
    assert budget.used and not budget.refuses()


def test_requests_are_refused_while_memory_is_short(budget):
    # Guards against a process that is killed for its use of memory.
    other = Body(budget)
    assert budget.take_request(other, 12 * MB)  # alone
    assert budget.refuses()
    assert not budget.take_request(Body(budget), 1)
    other.resize(9 * MB)
    assert not budget.refuses()


def test_only_callers_that_read_nothing_are_ended_slowest_first(budget):
    # Guards against memory that callers hold without reading, and against
    # ending a response that is read.
    bodies = [Body(budget) for _ in range(4)]
    for body, read_at in zip(bodies, (3.0, 1.0, 2.0, 19.0), strict=True):
        body.resize(4 * MB)
        body.read_at = read_at
    budget.clock.now = 20.0
    budget.check()
    assert [body.ended for body in bodies] == [False, True, True, False]
    budget.clock.now = 100.0
    budget.check()
    assert [body.ended for body in bodies] == [False, True, True, False]


@attrs.define
class Backend:
    """Sends large responses, ``/cut`` truncated, ``/chunked`` unframed."""

    address: str = ''

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                await self.answer(head, writer)
        writer.close()

    async def answer(self, head, writer):
        size = 2000 if b'/small' in head else LARGE_BYTES
        framed = b'chunked' not in head and b'stream' not in head
        writer.write(HEAD % size if framed else CHUNKED_HEAD)
        part = bytes(min(size, 1 << 16))
        for sent in range(0, size, len(part)):
            if b'cut' in head and sent > size / 2:
                raise ConnectionResetError
            frame = b'%x\r\n%s\r\n' % (len(part), part)
            writer.write(part if framed else frame)
            await writer.drain()
        if not framed:
            writer.write(b'0\r\n\r\n')


@attrs.define
class Entry:
    """A process that serves callers."""

    process: asyncio.subprocess.Process
    port: int
    silent: list = attrs.field(factory=list)

    def memory_mb(self, field):
        with open(f'/proc/{self.process.pid}/status', encoding='ascii') as f:
            line = next(line for line in f if line.startswith(field))
        return int(line.split()[1]) / 1024

    async def ask(self, path, head=b'', body=b''):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        request = f'GET {path} HTTP/1.1\r\nHost: h\r\n'.encode()
        writer.write(request + head + b'\r\n' + body)
        return reader, writer

    async def read(self, path, head=b''):
        reader, writer = await self.ask(path, b'Connection: close\r\n' + head)
        data = b''
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(MB):
                data += part
        writer.close()
        return data

    async def ask_without_reading(self, path, count):
        for _ in range(count):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            client.connect(('127.0.0.1', self.port))
            client.send(f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
            self.silent.append(client)
            await asyncio.sleep(0)
        await asyncio.sleep(3.0)


@pytest_asyncio.fixture
async def start_entry():
    backend = Backend()
    listener = await asyncio.start_server(backend.serve, '127.0.0.1', 0)
    address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    entries = []

    async def start(*limits_mb):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.ingress_process',
            address,
            *map(str, limits_mb),
            stdout=asyncio.subprocess.PIPE,
        )
        entry = Entry(process, int(await process.stdout.readline()))
        entries.append(entry)
        return entry

    yield start
    for entry in entries:
        for client in entry.silent:
            client.close()
        entry.process.kill()
        await entry.process.wait()
    listener.close()


async def test_slow_readers_leave_memory_and_time_to_other_callers(
    start_entry,
):
    # Guards against an entry that is killed for its use of memory, or that
    # refuses or delays callers who read, beside many who don't.
    entry = await start_entry(MEMORY_MB)
    await entry.read('/large')
    await entry.ask_without_reading('/large', READERS)
    started = time.monotonic()
    small = [await entry.read('/small') for _ in range(20)]
    assert time.monotonic() - started < 20 * 0.05
    large = [await entry.read('/large') for _ in range(5)]
    assert {answer[9:12] for answer in small + large} == {b'200'}
    assert all(len(answer) > LARGE_BYTES for answer in large)
    assert entry.memory_mb('VmHWM') < 0.8 * MEMORY_MB


async def test_streams_that_are_not_read_keep_tens_of_kilobytes(start_entry):
    entry = await start_entry(MEMORY_MB)
    before = entry.memory_mb('VmRSS')
    await entry.ask_without_reading('/stream', READERS)
    assert (entry.memory_mb('VmHWM') - before) / READERS < 0.1


@pytest.mark.parametrize('budget_mb', [1, 64])
@pytest.mark.parametrize('path', ['/cut', '/cut-chunked'])
async def test_a_truncated_response_never_looks_complete(
    start_entry, budget_mb, path
):
    # With 1 MB it is passed on as it arrives; with 64 MB nothing of it is.
    entry = await start_entry(0, budget_mb)
    data = await entry.read(path)
    head, _, body = data.partition(b'\r\n\r\n')
    if budget_mb == 64:
        assert b' 500 ' in head
        return
    assert head.startswith(b'HTTP/1.1 200')
    assert 0 < len(body) < LARGE_BYTES and not body.endswith(b'0\r\n\r\n')
    framing = b'chunked' if path == '/cut-chunked' else b'%d' % LARGE_BYTES
    assert framing in head


async def test_request_bodies_count_while_they_are_received(start_entry):
    # Guards against callers who send large bodies slowly.
    entry = await start_entry(0, 15)
    length = b'Content-Length: %d\r\n' % (7 * MB)
    _, sender = await entry.ask('/small', length, bytes(6 * MB))
    await asyncio.sleep(0.3)
    refused = await entry.read('/small')
    assert refused[9:12] == b'503' and b'Retry-After' in refused
    assert (
        json.loads(refused.partition(b'\r\n\r\n')[2])['error']['ran'] == 'no'
    )
    sender.transport.abort()
    await asyncio.sleep(0.1)
    assert (await entry.read('/small'))[9:12] == b'200'
