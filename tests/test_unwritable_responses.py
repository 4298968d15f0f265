"""Tests of responses that can't be written to their callers."""

import json

import attrs
import pytest

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import web
from tests import ingress_process
from tests import test_broken_responses

UNWRITABLE = [
    (('X', 'a\x01b'),),
    (('X', 'a\r\nY: b'),),
    (('X\n', 'a'),),
    (('X', 'a\x7f'), ('Content-Length', '2')),
]


@attrs.define
class WholeBody(bodies.Body):
    """A body that is received as it is sent."""

    length: int | None = 4
    complete: bool = False
    sent: bool = False

    async def piece(self):
        if self.sent:
            return b''
        self.sent = True
        return b'body'

    def close(self):
        pass


@attrs.define
class UnwritableHandler:
    """Replies with headers that no response may have."""

    headers: tuple

    async def handle(self, call, stream):
        if call.target == '/plain':
            return calls.Reply(200, self.headers, b'body')
        if call.target == '/unframed':
            return calls.Reply(200, self.headers, b'body', False)
        if call.target == '/body':
            return calls.Reply(200, self.headers, WholeBody())
        if call.target == '/chunks':
            return calls.Reply(200, self.headers, WholeBody(None))
        if call.target == '/unframed-body':
            return calls.Reply(200, self.headers, WholeBody(None), False)
        framed = call.target == '/stream'
        await stream.send_headers(200, self.headers, framed)
        await stream.write(b'body')
        await stream.end()
        return None


@pytest.mark.parametrize('headers', UNWRITABLE)
@pytest.mark.parametrize(
    'target',
    [
        '/plain',
        '/unframed',
        '/body',
        '/chunks',
        '/unframed-body',
        '/stream',
        '/unframed-stream',
    ],
)
async def test_a_caller_gets_a_whole_error_instead(target, headers):
    # Guards against a connection that is closed without an answer.
    handler = UnwritableHandler(headers)
    ingress = web.Ingress(handler.handle, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    port = ingress.runner.addresses[0][1]
    received = await test_broken_responses.fetch(port, target)
    assert (received.status, received.framing) == (500, 'length')
    assert not received.broken
    assert json.loads(received.body)['error']['ran'] == 'unknown'
    await ingress.close()
