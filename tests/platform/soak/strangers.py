"""Listed servers that aren't backend servers of this platform."""

import asyncio
import contextlib
import itertools
import time

BODY = b'hello'
HEADS = {
    'not found': b'HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\n',
    'ok': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
    'error': b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Length: 5\r\n\r\n',
    'banner': b'SSH-2.0-server\r\n',
}
# Any of these may be at an address that another writer has left in the list.
KINDS = ('closes', 'silent', 'refuses', *HEADS)
SERVICES = ('s-model', 's-desk')
MEAN_INTERVAL_S = 0.8
MIN_LISTED_S = 0.5
MAX_LISTED_S = 4.0
MAX_SLOTS_EXPONENT = 4


class Stranger:
    """A server that answers every request in its own way.

    :param kind: one of :data:`KINDS`.
    :ivar requests: the first lines of what it has received.
    """

    def __init__(self, kind, service, slots, number):
        self.kind = kind
        self.service = service
        self.slots = slots
        self.ident = f'i-stranger-{number}'
        self.requests = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        if self.kind == 'refuses':
            self.server.close()

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def to_json(self):
        return {
            'id': self.ident,
            'service': self.service,
            'address': self.address,
            'zone': 'zone-1',
            'config-version': 'v1-1',
            'slots': self.slots,
            'state': 'ready',
            'cold-left-ms': 0,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
            ):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    self.requests.append(head.split(b'\r\n')[0].decode())
                    if self.kind == 'closes':
                        return
                    if self.kind == 'silent':
                        await reader.read()
                        return
                    writer.write(HEADS[self.kind] + BODY)
                    await writer.drain()
                    if self.kind == 'banner':
                        return
        finally:
            self.writers.discard(writer)
            writer.close()


class ListedStrangers:
    """Strangers that a list shows for a while; they overlap.

    :param record_fault: called with the kind of stranger and its item.
    :param start_task: runs a stranger beside the others.
    """

    def __init__(self, rng, list_server, record_fault, start_task):
        self.rng = rng
        self.list_server = list_server
        self.record_fault = record_fault
        self.start_task = start_task
        self.numbers = itertools.count(1)

    async def make(self, deadline):
        while time.monotonic() < deadline:
            stranger = Stranger(
                self.rng.choice(KINDS),
                self.rng.choice(SERVICES),
                round(10 ** self.rng.uniform(0, MAX_SLOTS_EXPONENT)),
                next(self.numbers),
            )
            listed_s = self.rng.uniform(MIN_LISTED_S, MAX_LISTED_S)
            self.record_fault(
                f'stranger {listed_s:.1f} s',
                f'{stranger.kind} {stranger.service} {stranger.slots}',
            )
            self.start_task(self._list(stranger, listed_s))
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_INTERVAL_S))

    async def _list(self, stranger, seconds):
        await stranger.start()
        self.list_server.strangers.append(stranger)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.list_server.strangers.remove(stranger)
            await stranger.stop()
