"""Ends HTTP servers once what has arrived at them is answered."""

import asyncio
import typing as t

from aiohttp import web

# Steps of the event loop in which a request is read and refused.
CLOSING_STEPS: t.Final = 20
# Further ones for requests that were sent together on one connection.
MAX_QUEUE_STEPS: t.Final = 200
STOP_LISTENING_S: t.Final = 0.001


async def close_runner(runner: 'web.BaseRunner[t.Any]') -> None:
    """Stop listening and close all connections of a server.

    What has arrived by then is answered first: a process that was short of
    CPU may not have read it yet.
    """
    await _answer_arrived(runner)
    # Its timer comes after the connections that the same step accepts: asyncio
    # forgets those that don't have a transport yet.
    await asyncio.sleep(STOP_LISTENING_S)
    for site in list(runner.sites):
        await site.stop()
    await _answer_arrived(runner)
    await runner.cleanup()


async def _answer_arrived(runner: 'web.BaseRunner[t.Any]') -> None:
    for _ in range(CLOSING_STEPS):
        await asyncio.sleep(0)
    for _ in range(MAX_QUEUE_STEPS):
        if not any(c._messages for c in _connections(runner.server)):
            break
        await asyncio.sleep(0)


def count_unsent(server: 'web.Server[t.Any] | None') -> int:
    """Return the number of connections with data that isn't sent yet.

    The system sends what it has also after the end of the process.
    """
    transports = [c.transport for c in _connections(server)]
    return sum(
        transport is not None and transport.get_write_buffer_size() > 0
        for transport in transports
    )


def _connections(
    server: 'web.Server[t.Any] | None',
) -> 'list[web.RequestHandler[t.Any]]':
    return server.connections if server is not None else []
