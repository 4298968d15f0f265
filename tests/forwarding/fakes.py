"""Scripted fakes of backend servers, callers and control."""

import asyncio

import attrs

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import ports
from bulrushhold import routes


@attrs.define
class Script:
    """How an engine responds to the next request.

    :param events: ids of the events that it sends.
    :param then: what follows the events: ``end``, ``reset``, ``crash``,
        ``restart`` (as another instance at the same address),
        ``silent``, ``half`` an event and a reset, or ``invalid`` bytes.
    :param error: step at which the request fails, or ``''``.
    :param oversized: the error is a response that exceeds a limit.
    :param invalid: the error is an invalid response.
    :param open_delay_s: delay before the response headers.
    :param limit: request limit that the response names.
    :param backoff: how long the server wants no requests.
    :param leaving: the response says that the server is shutting down.
    :param load: load that the response names; ``'malformed'`` for one that
        can't be decoded.
    :param instance: ident of the responding process.
    :param framed: the end of the response's body is marked.
    :param pause_s: time between the last event and what follows.
    """

    status: int = 200
    events: tuple = ()
    then: str = 'end'
    not_run: bool = False
    matches_request: bool = True
    from_backend: bool = True
    error: str = ''
    oversized: bool = False
    invalid: bool = False
    body: bytes = b'done'
    open_delay_s: float = 0.0
    pause_s: float = 0.0
    limit: calls.RequestLimit | None = None
    backoff: calls.Backoff | None = None
    leaving: bool = False
    load: calls.BackendLoad | str | None = None
    instance: str = ''
    framed: bool = True


class FakeResponse(calls.BackendResponse):
    def __init__(self, client, address, script):
        self.script = script
        self.client = client
        self.address = address
        self.remaining_events = list(script.events)
        self.head = calls.ResponseHead(
            script.status,
            (('X-Engine', address),),
            script.matches_request,
            script.from_backend,
            script.not_run,
            script.instance,
            limit=script.limit,
            backoff=script.backoff,
            leaving=script.leaving,
            load=None if script.load == 'malformed' else script.load,
            load_malformed=script.load == 'malformed',
            framed=script.framed,
        )

    async def chunk(self):
        return await self.next_chunk()

    async def next_chunk(self):
        if self.remaining_events:
            return encode_event(self.remaining_events.pop(0))
        if self.script.pause_s:
            await asyncio.sleep(self.script.pause_s)
        if self.script.then == 'half':
            self.script.then = 'reset'
            return b'id: 99\ndata'
        self.check_valid()
        if self.script.then == 'crash':
            self.client.dead.add(self.address)
        if self.script.then == 'restart':
            self.client.replaced.add(self.address)
        if self.script.then in ('reset', 'crash', 'restart'):
            self.client.on_reset(self.address)
            raise errors.BackendError('reset', 'answer', self.address)
        if self.script.then == 'silent':
            await asyncio.sleep(60)
        return b''

    def check_valid(self):
        if self.script.then == 'invalid':
            raise errors.InvalidResponseError('x', 'answer', self.address)

    async def body(self):
        self.check_valid()
        if self.script.then == 'silent':
            await asyncio.sleep(60)
        if self.script.then == 'crash':
            self.client.dead.add(self.address)
        if self.script.then in ('reset', 'crash'):
            raise errors.BackendError('reset', 'answer', self.address)
        return self.script.body

    def close(self):
        self.client.log.append(('close', self.address))


class FakeClient(calls.BackendClient):
    def __init__(self):
        self.scripts = []
        self.dead = set()
        self.replaced = set()
        self.silent = set()
        self.log = []
        self.attempts = []
        self.copies = []
        self.segments_by_address = {}
        self.segment_lookups = []
        self.opened = []
        self.probe_delay_s = 0.0
        self.starts = {}
        self.on_reset = lambda address: None
        self.on_oversized = lambda address, byte_count, reason: None

    async def send(self, call, attempt):
        self.log.append(('send', attempt.address))
        self.attempts.append(attempt)
        script = self.scripts.pop(0)
        if script.error:
            kind = errors.BackendError
            if script.invalid:
                kind = errors.InvalidResponseError
            if script.oversized:
                kind = errors.OversizedResponseError
                self.on_oversized(attempt.address, 65536, 'response head')
            raise kind('lost', script.error, attempt.address)
        if script.open_delay_s:
            await asyncio.sleep(script.open_delay_s)
        self.opened.append(attempt.address)
        return FakeResponse(self, attempt.address, script)

    async def probe(self, address, timeout, instance=''):
        try:
            async with asyncio.timeout(timeout):
                # Several event loop steps, like reads of a real socket.
                for _ in range(5):
                    await asyncio.sleep(self.probe_delay_s / 5)
        except TimeoutError:
            return False
        is_other = bool(instance) and address in self.replaced
        return self._answers(address) and not is_other

    async def read_start(self, address, timeout, instance=''):
        if not self.starts:
            return None
        if not self._answers(address) or not await self.probe(
            address, timeout, instance
        ):
            raise errors.BackendError('no answer', 'probe', address)
        return self.starts.get(address)

    async def accepts_connections(self, address, timeout):
        return address not in self.dead

    def _answers(self, address):
        return address not in self.dead and address not in self.silent

    async def has_ended(self, address, timeout, instance=''):
        is_other = bool(instance) and address in self.replaced
        return address in self.dead or is_other

    async def cached_segments(self, address, timeout):
        self.segment_lookups.append(address)
        if address in self.dead:
            raise errors.BackendError('silent', 'segments', address)
        return self.segments_by_address.get(address, frozenset())

    async def copy_run(self, call, source, target, timeout):
        self.copies.append((source, target))
        return calls.RunCopy(source, f'h{len(self.copies)}')

    async def drop_copy(self, copy, timeout):
        self.copies.append(('drop', copy))

    async def close(self):
        pass


class FakeCaller(calls.CallerStream):
    connected = True

    def __init__(self):
        self.headers_sent = False
        self.data = b''
        self.ended = self.aborted = False
        self.connected = True
        self.headers = ()

    async def send_headers(self, status, headers, framed=True):
        self.headers_sent = True
        self.headers = headers
        self.framed = framed

    async def write(self, data):
        self.data += data

    async def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True


def encode_event(number):
    return f'id: {number}\ndata: t{number}\n\n'.encode()


def encode_events(*numbers):
    return b''.join(map(encode_event, numbers))


def make_job(
    context,
    kind,
    timeout_s=5.0,
    last_event_id=None,
    attempts=5,
    aim_s=0.3,
    gap_s=0.0,
    resumes='',
    ident='req-1',
    segment='p',
    priority=None,
):
    call = calls.Call(
        ident,
        'POST',
        '/a/x',
        'h',
        'k',
        (),
        b'',
        timeout_s,
        last_event_id,
        calls.Prompt(8000, 100, (segment,)),
        resumes,
    )
    route = routes.Route(
        'r',
        'h',
        '/a/',
        kind,
        [routes.Target('engines', 1)],
        timeout_s,
        aim_s,
        max_attempts=attempts,
        resumable=True,
        gap_s=gap_s,
    )
    return forwarding.Job(
        call,
        route,
        'engines',
        'acct',
        context.clock() + timeout_s,
        priority=priority,
        engine_priority=priority,
    )


async def run_stream(context, **options):
    caller = FakeCaller()
    job = make_job(context, routes.Kind.STREAM, **options)
    reply = await forwarding.StreamForwarder(context, job, caller).run()
    return caller, reply


async def run_plain(context, kind, **options):
    return await forwarding.PlainForwarder(
        context, make_job(context, kind, **options)
    ).run()


class FakePermitSource(ports.PermitSource):
    """Answers with scripted grants, and then grants all permits.

    An error in ``grants`` is raised.
    """

    def __init__(self):
        self.grants = []
        self.asks = []

    async def request(self, ask):
        self.asks.append(ask)
        grant = (
            self.grants.pop(0)
            if self.grants
            else messages.PermitGrant(True, 0.0)
        )
        if isinstance(grant, errors.PeerError):
            raise grant
        return grant


class FakeTransport:
    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, message))


def make_reply(
    version=1,
    kind=routes.Kind.IDEMPOTENT,
    resumable=False,
    timeout_s=3.0,
    **more,
):
    route_map = routes.RouteMap(
        version,
        [
            routes.Route(
                'r',
                'h',
                '/a/',
                kind,
                [routes.Target('engines', 1)],
                timeout_s,
                0.3,
                max_attempts=5,
                resumable=resumable,
            )
        ],
        [routes.Service('engines')],
    )
    return messages.WatchReply(
        'done', route_map=messages.pack_map(route_map), **more
    )
