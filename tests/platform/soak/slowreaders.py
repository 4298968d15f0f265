"""Callers that hardly read large responses, and the entries' memory."""

import asyncio
import contextlib
import pathlib
import random
import resource
import socket
import time

from aiohttp import web

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import routemap
from tests.platform.soak import run
from tests.platform.soak import system

LARGE_PATH = f'{fakes.SAFE_PATH}large/'
LARGE_BYTES = 4 << 20
PIECE_BYTES = 64 << 10
SEND_BUFFER_BYTES = 64 << 10
# A server aborts a response that nobody reads for this time.
UNREAD_ABORT_S = 5.0
READERS = 200
RECEIVE_BUFFER_BYTES = 4096
READ_INTERVAL_S = 1.0
RECONNECT_S = 1.0
RAMP_S = 2.0
MEMORY_MB = 128
MEMORY_SHARE = 0.8
MEMORY_INTERVAL_S = 0.1
# Readers of an unbounded entry are stopped before they fill the machine.
STOP_AT_LIMITS = 4
FILE_SERVERS = 4
DESK_WORK_S = 0.2
REQUESTS_PER_S = 25


class FileServer(fakes.Engine):
    """Sends large responses as fast as they are read.

    It has no proxy and a small send buffer: the scenario's process would
    otherwise copy gigabytes into buffers that nobody reads, and be late with
    all that it measures.

    :ivar unread: responses that it aborted as nobody read them.
    """

    body = bytes(PIECE_BYTES)
    handler_cancellation = True
    unread = 0

    async def start(self):
        await super().start()
        self.address = '{}:{}'.format(*self.proxy.target)

    def to_json(self):
        return {**super().to_json(), 'address': self.address}

    async def _answer(self, request, body, headers):
        connection = request.transport.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        response = web.StreamResponse(headers=headers)
        response.content_length = LARGE_BYTES
        transport = request.transport
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            for _ in range(LARGE_BYTES // PIECE_BYTES):
                try:
                    async with asyncio.timeout(UNREAD_ABORT_S):
                        await response.write(self.body)
                except TimeoutError:
                    self.unread += 1
                    transport.abort()
                    return response
            await response.write_eof()
        return response


class SlowReader:
    """Reads a few KB of a large response each second, or nothing.

    :param address: of the entry.
    :param reads: whether it reads at all.
    """

    def __init__(self, ident, address, reads):
        self.ident = ident
        self.address = address
        self.reads = reads
        self.connections = 0

    async def run(self):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._read_one()
            await asyncio.sleep(RECONNECT_S)

    async def _read_one(self):
        self.connections += 1
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, self.address)
        except BaseException:
            connection.close()
            raise
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=RECEIVE_BUFFER_BYTES
        )
        try:
            writer.write(self._request())
            head = await reader.readuntil(b'\r\n\r\n')
            while b' 200 ' in head.partition(b'\r\n')[0]:
                await asyncio.sleep(READ_INTERVAL_S)
                if self.reads and not await reader.read(RECEIVE_BUFFER_BYTES):
                    return
        finally:
            writer.close()

    def _request(self):
        ident = f'{self.ident}-{self.connections}'
        lines = [
            f'POST {LARGE_PATH}{ident} HTTP/1.1',
            'Host: soak.example',
            f'Bulrushhold-Request-Id: {ident}',
            f'Bulrushhold-Credential: {routemap.API_KEY}',
            f'Bulrushhold-Deadline-Ms: {routemap.CALLER_TIMEOUT_MS}',
            'Content-Length: 0',
        ]
        return '\r\n'.join([*lines, '', '']).encode()


def resident_mb(pid):
    """Return the resident memory of a process."""
    with contextlib.suppress(OSError, IndexError):
        pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
        return pages * resource.getpagesize() / (1 << 20)
    return 0.0


class SlowReadersRun(run.SoakRun):
    """Sends plain requests without and then beside slow readers.

    :ivar first_s: response times of the plain requests without them.
    :ivar beside_s: response times beside them.
    :ivar lags: see :func:`figures.measure_lag`; beside the readers.
    :ivar failed: plain requests that weren't served, in either part.
    :ivar peak_mb: highest resident memory of an entry.
    :ivar stopped: the readers were stopped early, see
        :data:`STOP_AT_LIMITS`.
    """

    def __init__(self, seed, folder, network_number, seconds, entries):
        super().__init__(seed, folder, network_number, seconds)
        self.entry_count = entries
        self.load_rng = random.Random(f'load {seed}')
        self.file_servers = [
            FileServer('s-files', f'zone-{n % 3}', self.observations, self.rng)
            for n in range(FILE_SERVERS)
        ]
        desks = [
            fakes.Engine('s-desk', f'zone-{n}', self.observations, self.rng)
            for n in range(run.PLAIN_SERVERS)
        ]
        for desk in desks:
            desk.work_s = DESK_WORK_S
        self.engines = desks + self.file_servers
        self.first_s, self.beside_s = [], []
        self.lags = []
        self.failed = 0
        self.peak_mb = 0.0
        self.start_mb = 0.0
        self.stopped = False

    def _make_system(self, *arguments):
        return system.System(
            *arguments,
            entry_count=self.entry_count,
            limits=lambda program: {'memory-mb': MEMORY_MB},
        )

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        document['routes'].append(routemap.make_large_route(LARGE_PATH))
        document['services'].append({'name': 's-files', 'max-conns': 2000})
        return document

    async def _run_with_faults(self):
        watch = asyncio.ensure_future(self._watch_memory())
        await self._call_for(1.0, [])
        self.start_mb = self.peak_mb
        await self._call_for(self.seconds, self.first_s)
        self.readers = asyncio.ensure_future(self._read_slowly())
        await self._call_for(RAMP_S, [])
        lag = asyncio.ensure_future(figures.measure_lag(self.lags))
        await self._call_for(self.seconds, self.beside_s)
        for task in (self.readers, watch, lag):
            task.cancel()
        await asyncio.gather(self.readers, watch, lag, return_exceptions=True)

    async def _read_slowly(self):
        entries = self.system.programs_with_role('entry')
        async with asyncio.TaskGroup() as group:
            for number in range(READERS):
                for entry in entries:
                    reader = SlowReader(
                        f'slow-{entry.name}-{number}',
                        (entry.ip, self.system.ports['front']),
                        reads=bool(number % 2),
                    )
                    group.create_task(reader.run())
                await asyncio.sleep(RAMP_S / READERS)

    async def _watch_memory(self):
        entries = self.system.programs_with_role('entry')
        while True:
            now_mb = max(resident_mb(e.process.pid) for e in entries)
            self.peak_mb = max(self.peak_mb, now_mb)
            if now_mb > STOP_AT_LIMITS * MEMORY_MB and not self.stopped:
                self.stopped = True
                self.readers.cancel()
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def _call_for(self, seconds, response_times):
        deadline = time.monotonic() + seconds
        calls = []
        while time.monotonic() < deadline:
            calls.append(asyncio.ensure_future(self._time(response_times)))
            await asyncio.sleep(self.load_rng.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*calls)

    async def _time(self, response_times):
        started_at = time.monotonic()
        kind = self.load_rng.choice((fakes.SAFE_PATH, fakes.UNSAFE_PATH))
        await self._send_request(kind)
        response_times.append(time.monotonic() - started_at)

    async def _check_recovery(self):
        self.failed = self.report.sent - self.report.served
        for program in self.system.programs:
            if program.process.poll() is not None:
                self.report.violations.append(f'{program.name} has exited')

    def checks(self):
        """Return the figures with their bounds."""
        limit_mb = MEMORY_SHARE * MEMORY_MB
        before_s = figures.percentile(self.first_s)
        return [
            figures.Check(
                'entry memory, MB', self.peak_mb, limit_mb, at_least=False
            ),
            figures.Check(
                "other callers' p95, s",
                figures.percentile(self.beside_s),
                1.1 * before_s,
                at_least=False,
            ),
            figures.Check(
                'other requests not served', self.failed, 0, at_least=False
            ),
        ]
