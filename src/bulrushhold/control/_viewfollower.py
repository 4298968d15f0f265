"""Copies the leader's cluster view to another control process."""

import asyncio
import collections.abc as cabc
import typing as t

import loguru

from bulrushhold.control import _clusterview
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

LONG_POLL_S: t.Final = 0.3
# Added to the long poll for a slow link or a busy leader.
REPLY_MARGIN_S: t.Final = 0.3
RETRY_INTERVAL_S: t.Final = 0.05
# Longer than an election, so that entries stay attached during one. After it
# entries are redirected, as this copy of the view may be outdated.
LEADER_CONTACT_TIMEOUT_S: t.Final = 1.4


class ViewFollower:
    """Long-polls the leader and reports the locally attached entries to it.

    :param local_node: this process.
    :param leader_address: returns the leader's address, or ``''`` if it is
        unknown. Nothing is polled if it is this process's own address.
    :param entries: returns the entries that are attached to this process.
    """

    def __init__(
        self,
        transport: ports.Transport,
        local_node: messages.ControlNode,
        view: _clusterview.ClusterView,
        leader_address: cabc.Callable[[], str],
        entries: cabc.Callable[[], list[messages.ListedEntry]],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.transport = transport
        self.local_node = local_node
        self.view = view
        self.leader_address = leader_address
        self.entries = entries
        self.clock = clock
        self.last_reply_at = float('-inf')

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader answered within the contact timeout."""
        return self.clock() - self.last_reply_at < LEADER_CONTACT_TIMEOUT_S

    async def run(self) -> None:
        """Poll the leader until cancelled."""
        while True:
            leader = self._remote_leader()
            if not leader or not await self._poll(leader):
                await asyncio.sleep(RETRY_INTERVAL_S)

    def announce(self) -> None:
        """Send the attached entries to the leader without awaiting a reply."""
        leader = self._remote_leader()
        if leader:
            self.transport.send(leader, self._watch_request(0.0))

    def _remote_leader(self) -> str:
        leader = self.leader_address()
        return '' if leader == self.local_node.address else leader

    def _watch_request(self, hold_s: float) -> messages.NodeWatch:
        return messages.NodeWatch(
            self.local_node, self.entries(), self.view.versions(), hold_s
        )

    async def _poll(self, leader: str) -> bool:
        requested_at = self.clock()
        try:
            reply = await self.transport.request(
                leader,
                self._watch_request(LONG_POLL_S),
                LONG_POLL_S + REPLY_MARGIN_S,
            )
            if reply.status != 'done':
                return False
            self.view.update(reply, requested_at)
        except errors.PeerError as error:
            loguru.logger.bind(peer=leader, error=str(error)).warning(
                'leader unreachable'
            )
            return False
        self.last_reply_at = self.clock()
        return True
