"""Fakes for the soak test: backend servers, platform list, faulty proxy."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp
from aiohttp import web
import attrs

from tests.platform.soak import badinput
from tests.platform.soak import brokenanswers

CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
EVENT_COUNT = 40
EVENT_INTERVAL_S = 0.01
DEFAULT_VERSION = 'v1-1'
# The platform's list shows what an engine runs now this much later.
LIST_LAG_S = 0.7
STREAM_PATH = '/stream/'
UNSAFE_PATH = '/once/'
SAFE_PATH = '/read/'
# Part of the path of a request that crashes each engine that begins it.
POISON = 'poison'
POISON_RUN_S = 0.1
STOP_TIMEOUT_S = 1.0
DEFAULT_ACCOUNT = 'vendors'
DEFAULT_PRIORITY = 5
LOAD_HEADER = 'Bulrushhold-Instance-Load'
PRIORITY_HEADER = 'Bulrushhold-Request-Priority'


@attrs.define
class Observations:
    """Requests that the engines received, for the checks.

    :param runs: number of executions, by request ID.
    :param forged: target and header of each request with a forged header.
    :param copies: existing KV cache copies, as address and request ID.
    :param unsafe_executed: IDs of executed requests that must not be repeated.
    :param poison_arrivals: when each poison request reached an engine, by
        path.
    :param poison_crashes: when each engine crashed under one, by path.
    :param poison_runs: IDs of the poison requests that an engine began.
    :param accounts: account of each request of another account than the
        default one, by request ID.
    :param priorities: priority of each request whose route doesn't have the
        default one, by request ID.
    :param begun: IDs of the requests that a serial engine began to run.
    """

    runs: dict = attrs.field(factory=dict)
    forged: list = attrs.field(factory=list)
    copies: set = attrs.field(factory=set)
    unsafe_executed: set = attrs.field(factory=set)
    poison_arrivals: dict = attrs.field(factory=dict)
    poison_crashes: dict = attrs.field(factory=dict)
    poison_runs: set = attrs.field(factory=set)
    accounts: dict = attrs.field(factory=dict)
    priorities: dict = attrs.field(factory=dict)
    begun: set = attrs.field(factory=set)

    def count_late_arrivals(self, path, crashes, within_s):
        """Count arrivals of a poison request after a number of crashes.

        :param within_s: arrivals within this time are left out.
        """
        crashed_at = sorted(self.poison_crashes.get(path, ()))
        if len(crashed_at) < crashes:
            return 0
        since = crashed_at[crashes - 1] + within_s
        return sum(at > since for at in self.poison_arrivals[path])


class Engine:
    """Fake backend server behind a proxy that speaks the platform's protocol.

    :param version: version of its software.
    :ivar error_rate: share of plain requests answered with status 500.
    :ivar plain_requests: number of plain requests received.
    :ivar limit: request limit that its answers name, if any.
    :ivar backoff_s: if set, it turns requests away with this demand.
    :ivar leaving: its answers say that it is shutting down.
    :ivar arrivals: when each request reached it, by the event loop's clock.
    :ivar queue_s: how long a request waits in its queue.
    :ivar work_s: how long a plain request runs; random if not set.
    :ivar statements: headers of all its answers.
    :ivar draining: the platform's list says that it is shutting down.
    :ivar down_s: how long it is down after a crash under a poison request.
    """

    incarnations = itertools.count(1)
    event_count = EVENT_COUNT
    event_interval_s = EVENT_INTERVAL_S
    draining = False
    handler_cancellation = False

    def __init__(
        self, service, zone, observations, rng, version=DEFAULT_VERSION
    ):
        self.service = service
        self.version = version
        self.plain_requests = 0
        self.zone = zone
        self.observations = observations
        self.rng = rng
        self.ident = f'i-{next(self.incarnations)}'
        self.up = asyncio.Event()
        self.up.set()
        self.error_rate = 0.0
        self.limit = None
        self.backoff_s = None
        self.leaving = False
        self.arrivals = []
        self.queue_s = 0.0
        self.work_s = None
        self.statements = {}
        self.down_s = 0.0
        self.born_ms = round(time.time() * 1000)
        self.listed_version = None
        self.proxy = Proxy()

    async def start(self):
        server = web.Server(
            self.handle,
            access_log=None,
            handler_cancellation=self.handler_cancellation,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        await self.proxy.start(*site._server.sockets[0].getsockname()[:2])

    async def stop(self):
        await self.proxy.stop()
        await self.runner.cleanup()

    def crash(self, *, keeps_ident=False):
        """Drop all requests and copies and start a new incarnation."""
        self.proxy.reset()
        address = self.proxy.address
        self.observations.copies = {
            c for c in self.observations.copies if c[0] != address
        }
        self.born_ms = round(time.time() * 1000)
        if not keeps_ident:
            self.ident = f'i-{next(self.incarnations)}'

    def upgrade_in_place(self, version):
        """Crash, and be back under the same ident; the list tells it late."""
        self.crash(keeps_ident=True)
        self.listed_version = self.listed_version or self.version
        self.version = version
        loop = asyncio.get_running_loop()
        loop.call_later(LIST_LAG_S, setattr, self, 'listed_version', None)

    def restart(self, version):
        """Crash, and be back with a version at the same address."""
        self.draining = False
        self.crash()
        self.version = version

    def to_json(self):
        return {
            'id': self.ident,
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.zone,
            'config-version': self.listed_version or self.version,
            'slots': 16,
            'state': 'draining' if self.draining else 'ready',
            'cold-left-ms': 0,
        }

    async def handle(self, request):
        ident = request.headers.get('Bulrushhold-Request-Id', '')
        if request.path == '/bulrushhold/report':
            return web.json_response({'running': 0, 'born': self.born_ms})
        if request.path == '/bulrushhold/kv-move':
            payload = await request.json()
            self.observations.copies.add((payload['target'], payload['id']))
            return web.json_response({'handle': payload['id'], 'made': 1})
        if request.path.startswith('/bulrushhold/'):
            return web.Response()
        self.arrivals.append(asyncio.get_running_loop().time())
        headers = {'Bulrushhold-Request-Id': ident, **self.statements}
        if self.limit is not None:
            headers['Server-Limit'] = str(self.limit)
        if self.leaving:
            headers['Server-Leaving'] = '1'
        expected = request.headers.get('Bulrushhold-Expect-Instance')
        if expected != self.ident:
            headers['Bulrushhold-Instance-Id'] = self.ident
            return web.Response(status=421, headers=headers)
        self._record_forged_headers(request)
        if self.backoff_s is not None:
            headers['Bulrushhold-Not-Run'] = '1'
            headers['Retry-After'] = str(self.backoff_s)
            return web.Response(status=503, headers=headers)
        copy = request.headers.get('Kv-From')
        if copy and (self.proxy.address, copy.split('/')[1]) not in (
            self.observations.copies
        ):
            headers['Bulrushhold-Not-Run'] = '1'
            return web.Response(status=503, headers=headers)
        body = await request.read()
        if POISON in request.path:
            await self._run_poison(request)
            return web.Response(status=500)
        await asyncio.sleep(self.queue_s)
        if self.ident != expected:
            return web.Response(status=500)
        runs = self.observations.runs
        runs[ident] = runs.get(ident, 0) + 1
        if request.path.startswith(UNSAFE_PATH):
            self.observations.unsafe_executed.add(ident)
        headers['Bulrushhold-Response-Stamp'] = f'{self.ident}.{ident}'
        if request.path.startswith(STREAM_PATH):
            return await self._stream(request, ident, headers)
        self.plain_requests += 1
        return await self._answer(request, body, headers)

    async def _answer(self, request, body, headers):
        await asyncio.sleep(self.work_s or self.rng.random() * 0.02)
        if self.rng.random() < self.error_rate:
            return web.Response(status=500, headers=headers)
        return web.Response(
            body=make_body(request.raw_path, body), headers=headers
        )

    async def _run_poison(self, request):
        ident, now = self.ident, asyncio.get_running_loop().time()
        arrivals = self.observations.poison_arrivals
        arrivals.setdefault(request.path, []).append(now)
        await asyncio.sleep(self.queue_s)
        transport = request.transport
        dropped = transport is None or transport.is_closing()
        if dropped or self.ident != ident:
            return
        self.observations.poison_runs.add(
            request.headers['Bulrushhold-Request-Id']
        )
        await asyncio.sleep(POISON_RUN_S)
        if self.ident != ident:
            return
        crashes = self.observations.poison_crashes
        now = asyncio.get_running_loop().time()
        crashes.setdefault(request.path, []).append(now)
        self.crash()
        if self.down_s:
            await self.proxy.go_down(self.down_s)

    def highest_count(self, since, window_s):
        """Return the most arrivals in any window that begins later."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times),
            default=0,
        )

    def _record_forged_headers(self, request):
        names = ('Bulrushhold-Credential', 'Bulrushhold-Hold')
        for name in names:
            if name in request.headers:
                self.observations.forged.append((request.raw_path, name))
        ident = request.headers.get('Bulrushhold-Request-Id', '')
        account = self.observations.accounts.get(ident, DEFAULT_ACCOUNT)
        if request.headers.get('Bulrushhold-Tenant') != account:
            self.observations.forged.append((request.raw_path, 'account'))
        priority = request.headers.get(PRIORITY_HEADER)
        expected = self.observations.priorities.get(ident, DEFAULT_PRIORITY)
        # It is sent only for services with ordered admission.
        if priority not in (None, str(expected)):
            self.observations.forged.append((request.raw_path, 'priority'))

    async def _stream(self, request, ident, headers):
        version = self.version
        backup = request.headers.get('Bulrushhold-Kv-Backup')
        if backup:
            self.observations.copies.add((backup, ident))
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        first_number = int(request.headers.get('Last-Event-Id', '0')) + 1
        # The caller may close the connection at any time.
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            for number in range(first_number, self.event_count + 1):
                await asyncio.sleep(self.event_interval_s)
                await response.write(
                    encode_event(request.raw_path, number, version)
                )
            await response.write_eof()
        return response


def make_body(target, body):
    return b'answer to ' + target.encode() + b' ' + body


def encode_event(target, number, version=DEFAULT_VERSION):
    return f'id: {number}\ndata: {target} {number} {version}\n\n'.encode()


class PlatformListServer:
    """Serves the platform list, with a delay and unreadable items.

    :param rng: draws the unreadable items of each response.
    :param odd_items: draws more of them, if set.
    :ivar strangers: listed servers that are no engines.
    """

    def __init__(self, engines, rng=None, odd_items=None):
        self.engines = engines
        self.rng = rng or random.Random(1)
        self.odd_items = odd_items
        self.strangers = []
        self.delay_s = 0.3

    async def start(self):
        app = web.Application()
        app.router.add_get('/instances', self._list)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self):
        await self.runner.cleanup()

    async def _list(self, request):
        servers = (*self.engines, *self.strangers)
        items = [server.to_json() for server in servers]
        await asyncio.sleep(self.delay_s)
        body = badinput.encode_list(items, self.rng, self.odd_items)
        return web.Response(body=body, content_type='application/json')


class Proxy:
    """A loopback proxy that injects connection faults.

    :ivar fault: ``''``, ``delay``, ``silent`` (no data passes), ``one_way``
        (data passes towards the target only) or ``refuse``.
    :ivar faults_by_client: the same for the connections of one address.
    :ivar silences: number of silences that overlap now; as ``silent``.
    :ivar broken_rng: draws where an answer breaks off.
    :ivar broken_share: share of the answers that break off.
    """

    def __init__(self):
        self.fault = ''
        self.faults_by_client = {}
        self.silences = 0
        self.broken_rng = random.Random(1)
        self.broken_share = 0.0
        self.connections = {}
        self.address = ''

    async def start(self, host, port, listen='127.0.0.1', listen_port=0):
        self.target = (host, port)
        self.server = await asyncio.start_server(
            self._serve, listen, listen_port
        )
        bound = self.server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self):
        self.server.close()
        self.fault = ''
        self.silences = 0
        self.faults_by_client.clear()
        self.reset()
        # Tasks that the event loop's end cancels would log their tracebacks.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while self.connections:
                    await asyncio.sleep(0.01)

    async def go_down(self, seconds):
        """Refuse connections for a time, as if no process listened."""
        if not self.server.is_serving():
            return
        host, port = self.address.rsplit(':', 1)
        self.server.close()
        self.reset()
        await asyncio.sleep(seconds)
        self.server = await asyncio.start_server(
            self._serve, host, int(port), reuse_port=True
        )

    def reset(self, client=None):
        """Reset all connections, or those of a client's address."""
        for writer, address in list(self.connections.items()):
            if client in (None, address):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.fault == 'refuse':
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        client = writer.get_extra_info('peername')[0]
        self.connections[writer] = self.connections[upstream_writer] = client
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, client, upstream=True),
                self._pump(upstream_reader, writer, client, upstream=False),
            )
        finally:
            for connection in (writer, upstream_writer):
                del self.connections[connection]
                connection.close()

    def _is_held(self, client, *, upstream):
        if self.silences:
            return True
        faults = {self.fault, self.faults_by_client.get(client)}
        return 'silent' in faults or ('one_way' in faults and not upstream)

    async def _pump(self, reader, writer, client, *, upstream):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.fault == 'delay':
                    await asyncio.sleep(0.1)
                while self._is_held(client, upstream=upstream):
                    await asyncio.sleep(0.05)
                if not upstream and self._is_broken_off():
                    await brokenanswers.break_off(
                        writer, data, self.broken_rng
                    )
                    break
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    def _is_broken_off(self):
        share = self.broken_share
        return share > 0 and self.broken_rng.random() < share
