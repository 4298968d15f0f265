"""Servers some of whose answers are no valid HTTP, judged byte by byte."""

import asyncio
import re
import time

import attrs

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import result
from tests.platform.soak import run
from tests.platform.soak import silence
from tests.platform.soak import system

SHARE = 0.2
# Entries may retry a share of the requests that they have seen.
BEFORE_S = 1.5
DAMAGED_S = 5.0
REQUESTS_PER_S = 50
DEADLINE_S = 4.0
MIN_SERVED = 0.95
INVALID = 'invalid'
STAMP = b'bulrushhold-response-stamp'
FRAMING_FIELDS = (b'content-length', b'transfer-encoding')
_STATUS_LINE = re.compile(rb'HTTP/1\.1 [1-5][0-9][0-9] [^\x00-\x08\x0a-\x1f]*')
_FIELD = re.compile(rb"([A-Za-z0-9!#$%&'*+.^_`|~-]+):([^\x00-\x08\x0a-\x1f]*)")


def _with_length(head, body):
    return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(body), body)


def _in_chunks(head, body):
    return b'%bTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
        head,
        len(body),
        body,
    )


def _until_closed(head, body):
    return head + b'\r\n' + body


FRAMINGS = (_with_length, _in_chunks, _until_closed)
# Each takes a whole response, with one of these framings.
DAMAGES = {
    'status 000': lambda data: data.replace(b' 200 ', b' 000 ', 1),
    'status 600': lambda data: data.replace(b' 200 ', b' 600 ', 1),
    'another version': lambda data: data.replace(b'/1.1', b'/2.0', 1),
    'blank in a name': lambda data: data.replace(
        b'\r\n', b'\r\nX Y: 1\r\n', 1
    ),
    'blank after a name': lambda data: re.sub(
        rb'(Content-Length|Transfer-Encoding|Stamp):', rb'\1 :', data, count=1
    ),
    'control bytes': lambda data: data.replace(
        b'\r\n', b'\r\nX: \x01\x02\r\n', 1
    ),
    'two codings': lambda data: data.replace(
        b'\r\n',
        b'\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
        1,
    ),
    'a broken chunk': lambda data: re.sub(
        rb'\r\n\r\n[\s\S]*',
        b'\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhalf',
        data,
    ),
    'a broken trailer': lambda data: re.sub(
        rb'\r\n\r\n[\s\S]*',
        b'\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\nx\r\n0\r\nX: \x00\r\n\r\n',
        data,
    ),
}


class InvalidServer(silence.TrackedEngine):
    """Sends a share of its answers damaged while asked to.

    :ivar share: of its answers.
    :ivar damaged: IDs of the requests that got one.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.share = 0.0
        self.damaged = set()

    async def _answer(self, request, body, headers):
        if self.rng.random() >= self.share:
            return await super()._answer(request, body, headers)
        body = fakes.make_body(request.raw_path, body)
        return self._damage(request, headers, body)

    async def _stream(self, request, ident, headers):
        if self.rng.random() >= self.share:
            return await super()._stream(request, ident, headers)
        body = fakes.encode_event(request.raw_path, 1, self.version)
        return self._damage(request, headers, body)

    def _damage(self, request, headers, body):
        self.damaged.add(headers['Bulrushhold-Request-Id'])
        fields = ''.join(f'{n}: {v}\r\n' for n, v in headers.items())
        head = f'HTTP/1.1 200 OK\r\n{fields}'.encode()
        whole = self.rng.choice(FRAMINGS)(head, body)
        damage = DAMAGES[self.rng.choice(list(DAMAGES))]
        request.transport.write(damage(whole))
        request.transport.close()
        raise ConnectionResetError('the answer was sent damaged')


@attrs.define
class RawResponse:
    """What a caller received.

    :ivar fault: what is invalid; ``''`` if nothing is.
    :ivar headers: by names in lower case.
    """

    status: int = 0
    fault: str = ''
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''


async def read_response(reader):
    """Read a response, and judge it without a library.

    :raises asyncio.IncompleteReadError: if it breaks off.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, *lines = head[:-4].split(b'\r\n')
    response = RawResponse()
    if not _STATUS_LINE.fullmatch(status_line):
        response.fault = f'status line {status_line!r}'
        return response
    response.status = int(status_line[9:12])
    for line in lines:
        match = _FIELD.fullmatch(line)
        name = match[1].lower() if match else b''
        is_twice = name in response.headers and name in FRAMING_FIELDS
        if match is None or b'\x7f' in line or is_twice:
            response.fault = f'field {line!r}'
            return response
        response.headers[name] = match[2].strip(b' \t')
    await _read_body(reader, response)
    return response


async def _read_body(reader, response):
    coding = response.headers.get(b'transfer-encoding')
    length = response.headers.get(b'content-length')
    if coding is not None and (coding != b'chunked' or length is not None):
        response.fault = f'coding {coding!r}'
    elif coding is not None:
        while size := int((await reader.readuntil(b'\r\n'))[:-2], 16):
            response.body += await reader.readexactly(size)
            if await reader.readexactly(2) != b'\r\n':
                response.fault = 'chunk'
                return
        if await reader.readexactly(2) != b'\r\n':
            response.fault = 'trailer'
    elif length is not None:
        response.body = await reader.readexactly(int(length))
    else:
        response.body = await reader.read()


class InvalidRun(silence.SilenceRun):
    """Sends requests while a share of all answers is damaged."""

    deadline_s = DEADLINE_S

    def __init__(self, seed, folder, network_number, entries):
        plan = silence.SilencePlan(kinds=silence.ALL_KINDS, entries=entries)
        super().__init__(seed, folder, network_number, plan)
        self.engines = [
            InvalidServer(
                service, f'zone-{n % 3}', self.observations, self.rng
            )
            for service, count in silence.SERVERS_PER_SERVICE.items()
            for n in range(count)
        ]

    async def _run_with_faults(self):
        calls = await self._call_for(BEFORE_S, 'before')
        for engine in self.engines:
            engine.share = SHARE
        self._record_fault('damage', 'all')
        calls += await self._call_for(DAMAGED_S, 'beside')
        await asyncio.gather(*calls)

    async def _call_for(self, seconds, part):
        deadline = time.monotonic() + seconds
        calls = []
        while time.monotonic() < deadline:
            kind = self.load_rng.choice(self.plan.kinds)
            call = self._call(None, kind, f'{part}-{len(calls)}')
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(self.load_rng.expovariate(REQUESTS_PER_S))
        return calls

    async def _send(self, session, kind, number):
        del session
        ident = f'{self.report.seed}-{number}'
        target = f'{kind}{ident}'
        body = f'body {number}'.encode()
        entry = self.load_rng.choice(self.system.programs_with_role('entry'))
        lines = [
            f'POST {target} HTTP/1.1',
            'Host: soak.example',
            f'Bulrushhold-Request-Id: {ident}',
            f'Bulrushhold-Credential: {run.API_KEY}',
            f'Bulrushhold-Deadline-Ms: {round(DEADLINE_S * 1000)}',
            f'Content-Length: {len(body)}',
        ]
        if kind == fakes.STREAM_PATH:
            lines.append('Bulrushhold-Token-Counts: 800,40')
            lines.append(f'Bulrushhold-Prompt-Prefix: a:100,b{number}:700')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        reader, writer = await asyncio.open_connection(
            entry.ip, self.system.ports['front']
        )
        try:
            async with asyncio.timeout(DEADLINE_S + 2.0):
                writer.write(head + body)
                response = await read_response(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return silence.LOST
        finally:
            writer.close()
        return self._judge(kind, ident, target, body, response)

    def _judge(self, kind, ident, target, body, response):
        if response.fault:
            self.report.violations.append(f'{target}: {response.fault}')
            return INVALID
        response.headers = {
            name.decode().title(): value.decode()
            for name, value in response.headers.items()
        }
        self._check_response(
            kind, ident, target, body, response, response.body
        )
        is_stamped = STAMP.decode().title() in response.headers
        if response.status >= 500 and is_stamped:
            self.report.violations.append(f'{target}: a failure has a stamp')
        if response.status == 200:
            return silence.WHOLE
        if response.status in (503, 429, 408, 421):
            return silence.REFUSED
        return str(response.status)

    def share_served(self, kind):
        """Return the share of requests of a kind that ended whole."""
        counts = {o: n for (k, o), n in self.outcomes.items() if k == kind}
        return counts.get(silence.WHOLE, 0) / max(1, sum(counts.values()))

    def checks(self):
        """Return the figures with their bounds."""
        damaged = sum(len(engine.damaged) for engine in self.engines)
        return [
            figures.Check(
                'violated guarantees',
                len(self.report.violations),
                0,
                at_least=False,
            ),
            figures.Check(
                'requests without a whole answer',
                len(self.lost),
                0,
                at_least=False,
            ),
            *(
                figures.Check(
                    f'{kind} served', self.share_served(kind), MIN_SERVED
                )
                for kind in silence.REPEATABLE
            ),
            figures.Check('damaged answers', damaged, 1),
            figures.Check(
                'lines of them', self.count_logged('invalid response'), 1
            ),
        ]


async def play(seed, folder, entries=4, seconds=None):
    """A fifth of all answers is no valid HTTP; durations are fixed."""
    del seconds
    folder.mkdir(exist_ok=True)
    with system.LoopbackNetwork() as network:
        invalid_run = InvalidRun(seed, folder, network.number, entries)
        await invalid_run.execute()
    return result.Result(
        invalid_run.checks(),
        [*map(str, invalid_run.report.violations[:10]), *invalid_run.lines()],
    )
