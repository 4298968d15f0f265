"""Client for requests that only the leader can answer."""

import asyncio
import collections.abc as cabc
import time
import typing as t

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

FORWARD_TIMEOUT_S: t.Final = 0.7
# Longer than an election, so that a call survives a change of leader.
CALL_TIMEOUT_S: t.Final = 2.5
RETRY_INTERVAL_S: t.Final = 0.1


class LeaderClient:
    """Sends requests to the current leader and retries until a timeout.

    :param leader_address: returns the leader's address, or ``''`` if it is
        unknown.
    :param handle_locally: answers a request in this process if it is the
        leader, else returns ``None``.
    """

    def __init__(
        self,
        transport: ports.Transport,
        leader_address: cabc.Callable[[], str],
        handle_locally: cabc.Callable[
            [messages.Message], cabc.Awaitable[t.Any]
        ],
    ) -> None:
        self.transport = transport
        self.leader_address = leader_address
        self.handle_locally = handle_locally

    async def put_map(
        self, put: messages.RouteMapPut
    ) -> messages.RouteMapOutcome:
        """Commit a validated route map to the log.

        The call is idempotent.

        :raises PeerError: if no leader confirmed the commit in time; the map
            may still be committed.
        """
        reply = await self._request_leader(
            messages.Proposal(messages.encode(put))
        )
        return messages.decode(reply.result)

    async def read_map(self) -> messages.RouteMapReply:
        """Return the newest route map as the operator sent it.

        :raises PeerError: if no leader replied in time.
        """
        return await self._request_leader(messages.RouteMapRead())

    async def start_rollout(
        self, order: messages.RolloutOrder
    ) -> messages.RolloutOutcome:
        """Commit an order to roll out a version.

        An order that is sent again is acknowledged again.

        :raises PeerError: if no leader confirmed the commit in time; the
            rollout may still start.
        """
        reply = await self._request_leader(order)
        return messages.decode(reply.result)

    async def read_rollout(self, service: str) -> messages.Rollout | None:
        """Return the newest rollout of a service, if there is one.

        :raises PeerError: if no leader replied in time.
        """
        reply = await self._request_leader(messages.RolloutRead(service))
        return reply.rollout

    async def _request_leader(self, request: messages.Message) -> t.Any:
        operation = type(request).__name__
        deadline = time.monotonic() + CALL_TIMEOUT_S
        last_error = errors.PeerError('no leader is known', operation)
        while time.monotonic() < deadline:
            reply = await self.handle_locally(request)
            leader = self.leader_address()
            if reply is None and leader:
                try:
                    reply = await self.transport.request(
                        leader, request, FORWARD_TIMEOUT_S
                    )
                except errors.PeerError as error:
                    last_error = error
            if reply is not None and reply.status == 'done':
                return reply
            if reply is not None:
                last_error = errors.PeerError(reply.status, operation, leader)
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise last_error
