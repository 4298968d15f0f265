"""Decodes requests and responses with the adapter's dialects."""

import multidict

from adapter import _callerdialect
from adapter import _enginedialect

HEADERS = multidict.CIMultiDict(
    [
        ('Host', 'forms.example'),
        ('Bulrushhold-Request-Id', 'req-1'),
        ('Bulrushhold-Deadline-Ms', '2500'),
        ('Bulrushhold-Credential', 'secret'),
        ('Bulrushhold-Token-Counts', '1460,80'),
        ('Bulrushhold-Prompt-Prefix', '5c1e:800,91bd:410'),
        ('Last-Event-Id', '12'),
        ('Resumes', 'req-0'),
        ('X-Own', 'kept'),
    ]
)


# An item of the platform's list.
ITEM = {
    'id': 'i-1',
    'service': 's-1',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'config-version': 'v1',
    'slots': 8,
    'state': 'draining',
    'cold-left-ms': 0,
}


def decode_call(headers=HEADERS):
    return _callerdialect.PlatformCallerDialect().decode_call(
        'POST', '/a/b?c', headers, b''
    )


def decode_head(status=200, **headers):
    pairs = multidict.CIMultiDict(
        {'Bulrushhold-Request-Id': 'req-1', **headers}
    )
    return _enginedialect.PlatformEngineDialect().decode_head(
        decode_call(), status, pairs
    )


class _PageResponse:
    status = 200

    def __init__(self, body):
        self.chunks = [body, b'']
        self.content = self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        pass

    async def readany(self):
        return self.chunks.pop(0)


class PageSession:
    """Answers each request with the next of the given pages."""

    def __init__(self, bodies):
        self.bodies = list(bodies)

    def get(self, url, params=None):
        return _PageResponse(self.bodies.pop(0) if self.bodies else b'{}')
