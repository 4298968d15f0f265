"""What a caller sends on an open connection, and what it gets."""

import asyncio
import json
import math
import time

import attrs

from tests.platform.soak import fakes
from tests.platform.soak import run

MAX_BODY_PAUSE_S = 0.6
# Callers wait longer than their deadline: an entry may answer at its end.
ANSWER_SLACK_S = 2.0


@attrs.define
class Attempt:
    """What a caller sent once and got.

    :param sent_at: when its last byte was sent.
    :param data: body of the answer.
    :param complete: whether the answer is.
    :param retry: the attempt after a refusal or a failure.
    """

    ident: str
    kind: str
    entry: str
    deadline_s: float
    started_at: float
    sent_at: float = math.inf
    first_event_at: float = math.inf
    ended_at: float = math.inf
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    data: bytes = b''
    complete: bool = False
    error: str = ''
    retry: 'Attempt | None' = None

    @property
    def target(self):
        return f'{self.kind}{self.ident}'

    @property
    def body(self):
        return f'body {self.ident}'.encode()

    @property
    def keeps_connection(self):
        return self.complete and self.headers.get('connection') != 'close'

    @property
    def may_be_retried(self):
        """Whether a caller may send it again after a failure."""
        if self.status in (503, 429, 408, 421):
            return True
        return self.kind != fakes.UNSAFE_PATH or self.ran == 'no'

    @property
    def ran(self):
        """What an entry's error says of whether the request ran."""
        try:
            return json.loads(self.data)['error']['ran']
        except (ValueError, KeyError, TypeError):
            return '?'

    def encode(self, *, chunked):
        """Return the parts of the request."""
        lines = [
            f'POST {self.target} HTTP/1.1',
            'Host: soak.example',
            f'Bulrushhold-Request-Id: {self.ident}',
            f'Bulrushhold-Credential: {run.API_KEY}',
            f'Bulrushhold-Deadline-Ms: {round(self.deadline_s * 1000)}',
        ]
        if self.kind == fakes.STREAM_PATH:
            lines += [
                'Bulrushhold-Token-Counts: 800,40',
                f'Bulrushhold-Prompt-Prefix: a:100,b{self.ident}:700',
            ]
        if not chunked:
            lines.append(f'Content-Length: {len(self.body)}')
            return ['\r\n'.join([*lines, '', '']).encode() + self.body]
        lines.append('Transfer-Encoding: chunked')
        head = '\r\n'.join([*lines, '', '']).encode()
        first, rest = self.body[:3], self.body[3:]
        return [
            b'%s3\r\n%s\r\n' % (head, first),
            b'%x\r\n%s\r\n0\r\n\r\n' % (len(rest), rest),
        ]

    async def read(self, reader):
        """Read the answer.

        :raises asyncio.IncompleteReadError: if it isn't complete.
        """
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().lower().strip().split('\r\n')
        self.status = int(first.split()[1])
        self.headers = dict(line.split(': ', 1) for line in lines)
        if 'content-length' in self.headers:
            length = int(self.headers['content-length'])
            self._add(await reader.readexactly(length))
        elif 'transfer-encoding' in self.headers:
            while size := int(await reader.readuntil(b'\r\n'), 16):
                self._add(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            while data := await reader.read(65536):
                self._add(data)
        self.complete = True

    def _add(self, data):
        self.first_event_at = min(self.first_event_at, time.monotonic())
        self.data += data

    async def exchange(self, reader, writer, rng):
        """Send the request and read the answer."""
        parts = self.encode(chunked=rng.random() < 0.5)
        pause_s = rng.uniform(0.0, MAX_BODY_PAUSE_S)
        answer = asyncio.ensure_future(self.read(reader))
        try:
            async with asyncio.timeout(self.deadline_s + ANSWER_SLACK_S):
                for number, part in enumerate(parts):
                    if number:
                        await asyncio.wait([answer], timeout=pause_s)
                    if answer.done():
                        break
                    writer.write(part)
                    await writer.drain()
                else:
                    self.sent_at = time.monotonic()
                await answer
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.error = type(error).__name__
        finally:
            self.ended_at = time.monotonic()
            answer.cancel()
            await asyncio.gather(answer, return_exceptions=True)
