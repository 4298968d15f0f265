"""Lets plain answers of sound servers break off, or be no valid HTTP."""

import asyncio
import re
import socket
import struct
import time

import aiohttp

# Resets a connection as it is closed.
NO_LINGER = struct.pack('ii', 1, 0)
MEAN_INTERVAL_S = 1.0
MIN_BROKEN_S = 1.0
MAX_BROKEN_S = 2.0
MAX_SHARE = 0.6
# What is replaced in an answer, and by what.
DAMAGES = (
    (rb' 200 ', b' 000 '),
    (rb' 200 ', b' 700 '),
    (rb'HTTP/1.1', b'HTTP/2.0'),
    (rb'Content-Length:', b'Content-Length :'),
    (rb'\r\n', b'\r\nX Y: 1\r\n'),
    (rb'\r\n', b'\r\nX: \x01\x02\r\n'),
    (
        rb'Content-Length: [0-9]+',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity',
    ),
)
_NAME = re.compile(rb"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_VALUE = re.compile(rb'[\t \x21-\x7e\x80-\xff]*')


async def break_off(writer, data, rng):
    """Send an answer damaged, a part of it or all of it; close or reset."""
    if rng.random() < 0.5:
        pattern, replacement = rng.choice(DAMAGES)
        writer.write(re.sub(pattern, lambda _: replacement, data, count=1))
        await writer.drain()
        return
    writer.write(data[: rng.randint(0, len(data))])
    await writer.drain()
    if rng.random() < 0.5:
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
        )
        writer.transport.abort()


def find_fault(response):
    """Return what a caller should not have got, or ``''``.

    :param response: of the library, which parses leniently; or the error
        that it raised instead.
    """
    if isinstance(response, aiohttp.ClientResponseError):
        return f'unreadable: {response.message}'
    if not 200 <= response.status <= 599:
        return f'status {response.status}'
    for name, value in response.raw_headers:
        if not (_NAME.fullmatch(name) and _VALUE.fullmatch(value)):
            return f'field {name!r}: {value!r}'
    return ''


class BrokenAnswers:
    """Times in which a share of one server's answers breaks off.

    :param servers: those with plain answers only.
    :param record_fault: called with the kind of fault and the server.
    :param start_task: runs such a time beside the others.
    """

    def __init__(self, rng, servers, record_fault, start_task):
        self.rng = rng
        self.servers = servers
        self.record_fault = record_fault
        self.start_task = start_task

    async def make(self, deadline):
        for server in self.servers:
            server.proxy.broken_rng = self.rng
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_INTERVAL_S))
            server = self.rng.choice(self.servers)
            share = MAX_SHARE * self.rng.random()
            self.record_fault(f'break off {share:.2f}', server.ident)
            self.start_task(self._break_off(server, share))

    async def _break_off(self, server, share):
        server.proxy.broken_share = share
        await asyncio.sleep(self.rng.uniform(MIN_BROKEN_S, MAX_BROKEN_S))
        server.proxy.broken_share = 0.0
