"""Calls that only the leader can answer, from any control process."""

import asyncio
import collections.abc as cabc
import time
import typing as t

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

FORWARD_S: t.Final = 0.7
# Longer than an election. Operators that gave up meanwhile send again, and
# the same map twice does no harm.
PUT_S: t.Final = 2.5
PAUSE_S: t.Final = 0.1


class LeaderCalls:
    """Asks the leader, wherever it is.

    :param leader: returns the leader's address, or ``''``.
    :param here: answers a request in this process, where it leads; else
        returns ``None``.
    """

    def __init__(
        self,
        transport: ports.Transport,
        leader: cabc.Callable[[], str],
        here: cabc.Callable[[messages.Message], cabc.Awaitable[t.Any]],
    ) -> None:
        self.transport = transport
        self.leader = leader
        self.here = here

    async def put_map(
        self, put: messages.RouteMapPut
    ) -> messages.RouteMapOutcome:
        """Have a checked route map in the log.

        :raises PeerError: where that isn't known to have happened. The
            same map sent again does no harm.
        """
        reply = await self._ask(messages.Proposal(messages.encode(put)))
        return messages.decode(reply.result)

    async def read_map(self) -> messages.RouteMapReply:
        """Return the newest route map, as its operator sent it.

        :raises PeerError: where it isn't sure which one is the newest.
        """
        return await self._ask(messages.RouteMapRead())

    async def _ask(self, request: messages.Message) -> t.Any:
        step = type(request).__name__
        end = time.monotonic() + PUT_S
        last = errors.PeerError('no leader is known', step)
        while time.monotonic() < end:
            reply = await self.here(request)
            leader = self.leader()
            if reply is None and leader:
                try:
                    reply = await self.transport.request(
                        leader, request, FORWARD_S
                    )
                except errors.PeerError as error:
                    last = error
            if reply is not None and reply.status == 'done':
                return reply
            if reply is not None:
                last = errors.PeerError(reply.status, step, leader)
            await asyncio.sleep(PAUSE_S)
        raise last
