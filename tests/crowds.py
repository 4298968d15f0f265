"""Clients that send more than a request may hold, or stop before its end."""

import asyncio
import contextlib
import gzip
import itertools
import os
import pathlib
import resource

import attrs

SIZE = 60
# A client whose connection is closed comes again after this time.
PAUSE_S = 0.2
HOLD_S = 5.0
ANSWER_TIMEOUT_S = 10.0
ANSWERED_WITHIN_S = 40.0
SAMPLE_INTERVAL_S = 0.02
PART_BYTES = 16 << 10
LONG_FIELD_BYTES = 60 << 10
LONG_FIELDS = 60
SHORT_FIELD_BYTES = 1 << 10
ENDLESS_BYTES = 4 << 20
LARGE_BODY_BYTES = 900 << 10
SMALL_BODY_BYTES = 100 << 10
REQUESTS_BEHIND = 32
COMPRESSED_BYTES = 8 << 20


@attrs.frozen
class Target:
    """Where a crowd sends its requests.

    :param headers: further lines of a head.
    :param body_bytes: size of a large body, within what is legal there.
    """

    host: str
    port: int
    path: str
    headers: tuple[str, ...] = ()
    body_bytes: int = LARGE_BODY_BYTES

    def head(self, *more, method='POST'):
        lines = [f'{method} {self.path} HTTP/1.1', 'Host: soak.example']
        return '\r\n'.join([*lines, *self.headers, *more, '']).encode()


async def _send(writer, data):
    for start in range(0, len(data), PART_BYTES):
        writer.write(data[start : start + PART_BYTES])
        await writer.drain()


async def send_long_head(writer, target):
    """Send fields that are each below the limit of one."""
    await _send(writer, target.head())
    for number in range(LONG_FIELDS):
        await _send(writer, b'X-%d: ' % number + b'x' * LONG_FIELD_BYTES)
        await _send(writer, b'\r\n')


async def send_endless_field(writer, target):
    await _send(writer, target.head() + b'X-Long: ')
    await _send(writer, b'x' * ENDLESS_BYTES)


async def send_endless_fields(writer, target):
    await _send(writer, target.head())
    for number in range(ENDLESS_BYTES // SHORT_FIELD_BYTES):
        await _send(writer, b'X-%d: ' % number + b'x' * SHORT_FIELD_BYTES)
        await _send(writer, b'\r\n')


async def send_endless_trailers(writer, target):
    await _send(writer, target.head('Transfer-Encoding: chunked', ''))
    await _send(writer, b'1\r\nx\r\n0\r\n')
    for number in range(LONG_FIELDS):
        await _send(writer, b'X-%d: ' % number + b'x' * LONG_FIELD_BYTES)
        await _send(writer, b'\r\n')


async def send_short_body(writer, target):
    """Send a large body without its last byte."""
    length = f'Content-Length: {target.body_bytes}'
    await _send(writer, target.head(length, ''))
    await _send(writer, b'x' * (target.body_bytes - 1))


async def send_short_chunks(writer, target):
    """Send a large body in chunks, without the last one."""
    await _send(writer, target.head('Transfer-Encoding: chunked', ''))
    for _ in range(target.body_bytes // PART_BYTES):
        await _send(writer, b'%x\r\n' % PART_BYTES)
        await _send(writer, b'x' * PART_BYTES + b'\r\n')


async def send_whole_body(writer, target):
    await send_short_body(writer, target)
    await _send(writer, b'x')


async def send_requests_behind(writer, target):
    """Send requests without reading the answers to those before."""
    length = f'Content-Length: {SMALL_BODY_BYTES}'
    request = target.head(length, '') + b'x' * SMALL_BODY_BYTES
    for _ in range(REQUESTS_BEHIND):
        await _send(writer, request)


async def send_empty_lines(writer, target):
    del target
    while True:
        await _send(writer, b'\r\n' * (PART_BYTES // 2))


async def send_slow_body(writer, target):
    """Declare a large body, and send a byte of it at a time."""
    length = f'Content-Length: {target.body_bytes}'
    await _send(writer, target.head(length, ''))
    while True:
        await _send(writer, b'x')
        await asyncio.sleep(PAUSE_S)


async def send_chunk_extension(writer, target):
    """Send the extension of a chunk without end."""
    await _send(writer, target.head('Transfer-Encoding: chunked', ''))
    await _send(writer, b'1;x=')
    await _send(writer, b'x' * ENDLESS_BYTES)


async def send_small_chunks(writer, target):
    """Send a body in chunks of two bytes, without the last one."""
    await _send(writer, target.head('Transfer-Encoding: chunked', ''))
    for _ in range(target.body_bytes // 2):
        await _send(writer, b'2\r\nxx\r\n' * 2048)


async def send_compressed_body(writer, target):
    """Send a small body that is large once it is decompressed."""
    body = gzip.compress(bytes(COMPRESSED_BYTES))
    fields = ('Content-Encoding: gzip', f'Content-Length: {len(body)}', '')
    await _send(writer, target.head(*fields) + body)


async def send_upgrade(writer, target):
    """Ask for another protocol, and send without end."""
    fields = ('Connection: upgrade', 'Upgrade: websocket', '')
    await _send(writer, target.head(*fields))
    await _send(writer, b'x' * ENDLESS_BYTES)


async def send_connect(writer, target):
    """Ask for a tunnel, and send without end."""
    head = target.head('', method='CONNECT').split(b' ', 2)
    await _send(writer, b'CONNECT a.example:1 ' + head[2])
    await _send(writer, b'x' * ENDLESS_BYTES)


async def read_no_answer(writer, target):
    """Ask for answers, behind one another, and read none of them."""
    writer.transport.pause_reading()
    await _send(writer, target.head('', method='GET') * REQUESTS_BEHIND)
    await asyncio.Event().wait()


async def send_any(writer, target):
    """Do one of the other things, another on each connection."""
    await next(_ANY)(writer, target)


async def send_nothing(writer, target):
    """Leave the connection without a request."""
    del writer, target


_ANY = itertools.cycle(
    (
        send_long_head,
        send_short_body,
        send_requests_behind,
        read_no_answer,
        send_slow_body,
        send_nothing,
        send_endless_trailers,
    )
)


class Crowd:
    """Clients that send, hold their connection, and come again if closed.

    :param send: what each client sends on a connection.
    :ivar connections: opened so far.
    """

    def __init__(self, target, send, size=SIZE):
        self.target = target
        self.send = send
        self.size = size
        self.connections = itertools.count()
        self.tasks = []

    async def __aenter__(self):
        self.tasks = [
            asyncio.ensure_future(self._run()) for _ in range(self.size)
        ]
        return self

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(self):
        while True:
            with contextlib.suppress(OSError):
                await self._connect_once()
            await asyncio.sleep(PAUSE_S)

    async def _connect_once(self):
        reader, writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        closed = asyncio.ensure_future(self._wait_for_close(reader))
        sending = asyncio.ensure_future(self.send(writer, self.target))
        try:
            await asyncio.wait(
                (closed, sending), return_when=asyncio.FIRST_COMPLETED
            )
            await closed
        finally:
            for task in (closed, sending):
                task.cancel()
            await asyncio.gather(closed, sending, return_exceptions=True)
            writer.transport.abort()

    async def _wait_for_close(self, reader):
        while await reader.read(PART_BYTES):
            pass


def resident_mb(pid):
    """Return the resident memory of a process; 0 if it has ended."""
    with contextlib.suppress(OSError, IndexError):
        pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
        return pages * resource.getpagesize() / (1 << 20)
    return 0.0


class Watch:
    """Samples what a process holds until it is stopped.

    :ivar peak_mb: highest resident memory.
    :ivar peak_files: highest number of open descriptors.
    """

    def __init__(self, pid):
        self.pid = pid
        self.peak_mb = 0.0
        self.peak_files = 0

    async def __aenter__(self):
        self.task = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(self, *error):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _sample(self):
        while True:
            self.peak_mb = max(self.peak_mb, resident_mb(self.pid))
            with contextlib.suppress(OSError):
                files = len(os.listdir(f'/proc/{self.pid}/fd'))
                self.peak_files = max(self.peak_files, files)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def wait_until_answered(ask):
    """Ask until there is an answer; fail if there is none."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + ANSWERED_WITHIN_S
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if await ask():
                    return
        assert loop.time() < deadline, 'no ordinary request is answered'
        await asyncio.sleep(PAUSE_S)


async def play(process, target, send, ask, size=SIZE):
    """Play a crowd at a process beside ordinary callers.

    :param process: the :class:`subprocess.Popen` of the target.
    :param ask: sends an ordinary request; returns whether it was answered.
    :return: the :class:`Watch` of the process.
    """
    await wait_until_answered(ask)
    async with Watch(process.pid) as watch:
        async with Crowd(target, send, size):
            await asyncio.sleep(HOLD_S)
            assert process.poll() is None, 'the process has ended'
            await wait_until_answered(ask)
        await wait_until_answered(ask)
    assert process.poll() is None, 'the process has ended'
    return watch
