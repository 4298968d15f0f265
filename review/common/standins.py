"""Stand-ins for engines and for the provider's list."""

import asyncio
import contextlib
import itertools
import json
import time
import typing as t

import wire

_incarnations = itertools.count(1)
LATEST_ID = 'last-event-id'


class Engine:
    """An engine of plain requests and streams, as the pages tell.

    :param service: name of its service.
    :param version: of its software.
    :param work_s: how long a plain request runs.
    :param events: number of events of a stream.
    :param gap_s: time between events.
    :ivar arrivals: request id and time of what reached it.
    :ivar runs: request id and time of what it ran.
    :ivar lost: ids of requests that it was running as it ended.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        *,
        version: str = 'v1',
        work_s: float = 0.06,
        events: int = 140,
        gap_s: float = 0.05,
    ) -> None:
        self.service = service
        self.zone = zone
        self.version = version
        self.work_s = work_s
        self.events = events
        self.gap_s = gap_s
        self.ident = f'i-{next(_incarnations):06x}'
        self.state = 'ready'
        self.ended = False
        self.running: dict[str, float] = {}
        self.arrivals: list[tuple[str, float]] = []
        self.runs: list[tuple[str, float]] = []
        self.lost: list[str] = []
        self.channels: set[asyncio.StreamWriter] = set()
        self.starts = 0
        self.address = ''

    async def start(self) -> None:
        """Start to listen, again at the same address."""
        port = int(self.address.rpartition(':')[2] or 0)
        self.born_ms = round(time.time() * 1000)
        self.starts += 1
        self.ended = False
        self.server, self.address = await wire.serve(self._handle, port)

    async def restart(
        self, version: str, down_s: float, *, new_id: bool = False
    ) -> None:
        """Crash, and start again with a version after a while."""
        self.end()
        await asyncio.sleep(down_s)
        self.channels.clear()
        self.version = version
        if new_id:
            self.ident = f'i-{next(_incarnations):06x}'
        await self.start()

    def end(self) -> None:
        """End, as a process that exits: all channels are closed."""
        self.ended = True
        self.lost = list(self.running)
        self.server.close()
        for writer in self.channels:
            writer.transport.abort()

    def entry(self) -> dict[str, t.Any]:
        """Return its entry in the provider's list."""
        return {
            'id': self.ident,
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'config-version': self.version,
            'slots': 64,
            'state': self.state,
            'cold-left-ms': 0,
        }

    async def _handle(
        self,
        method: str,
        path: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.channels.add(writer)
        ident = headers.get('bulrushhold-request-id', '')
        answered = {
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Instance-Id': self.ident,
        }
        if headers.get('bulrushhold-expect-instance', self.ident) != (
            self.ident
        ):
            answered['Bulrushhold-Not-Run'] = '1'
            wire.write_answer(writer, 421, answered)
            return
        if path == '/health' or path == '/bulrushhold/report':
            status = 200 if self.state == 'ready' else 503
            if path != '/health':
                status = 200
            wire.write_answer(writer, status, answered, self._report())
            return
        if path.startswith('/bulrushhold/'):
            held = json.dumps(
                {
                    'epoch': self.starts,
                    'next': 1,
                    'held': [],
                    'born': self.born_ms,
                }
            ).encode()
            status = 200 if path.endswith('kv-list') else 503
            wire.write_answer(writer, status, answered, held)
            return
        now = time.monotonic()
        self.arrivals.append((ident, now))
        self.runs.append((ident, now))
        self.running[ident] = now
        try:
            answered['Bulrushhold-Response-Stamp'] = f'{self.ident}.{ident}'
            if '/stream/' in path:
                await self._stream(path, headers, answered, writer)
            else:
                await self.answer(answered, writer)
        finally:
            self.running.pop(ident, None)

    async def answer(
        self, answered: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answer a plain request."""
        await asyncio.sleep(self.work_s)
        if not self.ended:
            wire.write_answer(writer, 200, answered, b'x' * 800)

    def _report(self) -> bytes:
        return json.dumps(
            {
                'stage': 'both',
                'models': [{'name': 'm', 'config-version': 1, 'adapters': []}],
                'busy': False,
                'seq': 0,
                'queued': 0,
                'running': len(self.running),
                'kv-used': 0,
                'kv-total': 88000,
                'handles': 0,
                'born': self.born_ms,
            }
        ).encode()

    async def _stream(
        self,
        path: str,
        headers: dict,
        answered: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        answered['Content-Type'] = 'text/event-stream'
        answered['Transfer-Encoding'] = 'chunked'
        head = ''.join(f'{k}: {v}\r\n' for k, v in answered.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        first = int(headers.get(LATEST_ID, 0)) + 1
        version, start = self.version, self.starts
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if self.ended or self.starts != start or writer.is_closing():
                return
            event = f'id: {number}\ndata: {path} {version}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
        writer.write(b'0\r\n\r\n')


class Provider:
    """The provider's list.

    :param lag_s: how old is what it says.
    :ivar foreign: entries of other writers, as bytes.
    """

    def __init__(self, engines: list[Engine], lag_s: float = 0.0) -> None:
        self.engines = engines
        self.lag_s = lag_s
        self.foreign: list[bytes] = []
        self.history: list[tuple[float, list[bytes]]] = []

    async def follow(self) -> None:
        """Record what is true, for later answers, until cancelled."""
        while True:
            now = time.monotonic()
            items = [json.dumps(e.entry()).encode() for e in self.engines]
            self.history.append((now, items))
            while len(self.history) > 1 and self.history[1][0] <= (
                now - self.lag_s
            ):
                del self.history[0]
            await asyncio.sleep(0.02)

    async def start(self) -> None:
        """Start to listen."""
        self.server, self.address = await wire.serve(self._handle)

    async def _handle(
        self,
        method: str,
        path: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.lag_s and self.history:
            items = list(self.history[0][1])
        else:
            items = [json.dumps(e.entry()).encode() for e in self.engines]
        items[1:1] = self.foreign
        text = b'{"instances":[' + b','.join(items) + b'],"next":null}'
        answered = {'Content-Type': 'application/json'}
        wire.write_answer(writer, 200, answered, text)


async def cancel_all(tasks: t.Iterable[asyncio.Task]) -> None:
    """Cancel tasks, and wait for their ends."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
