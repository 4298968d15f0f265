"""Follows the leader's news from another control process."""

import asyncio
import collections.abc as cabc
import typing as t

import loguru

from bulrushhold.control import _news
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

LONG_POLL_S: t.Final = 0.3
# Over a hold by what a reply takes on a slow link and a busy leader.
REPLY_MARGIN_S: t.Final = 0.3
RETRY_INTERVAL_S: t.Final = 0.05
# Longer than an election: entries stay meanwhile. Short enough for them to
# find out elsewhere what operators were acknowledged.
LEADER_CONTACT_TIMEOUT_S: t.Final = 1.4


class LeaderFollower:
    """Holds a long poll at the leader, and names the entries here to it.

    :param me: this process.
    :param leader: returns the leader's address; this process's own, or
        ``''``, where there is none to follow.
    :param entries: returns the entries that are attached here.
    """

    def __init__(
        self,
        transport: ports.Transport,
        local_node: messages.ControlNode,
        view: _news.ClusterView,
        leader: cabc.Callable[[], str],
        entries: cabc.Callable[[], list[messages.ListedEntry]],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.transport = transport
        self.local_node = local_node
        self.view = view
        self.leader = leader
        self.entries = entries
        self.clock = clock
        self.last_reply_at = float('-inf')

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader has answered lately."""
        return self.clock() - self.last_reply_at < LEADER_CONTACT_TIMEOUT_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            leader = self._remote_leader()
            if not leader or not await self._poll(leader):
                await asyncio.sleep(RETRY_INTERVAL_S)

    def announce(self) -> None:
        """Name the entries here to the leader, without waiting."""
        leader = self._remote_leader()
        if leader:
            self.transport.send(leader, self._watch_request(0.0))

    def _remote_leader(self) -> str:
        leader = self.leader()
        return '' if leader == self.local_node.address else leader

    def _watch_request(self, hold_s: float) -> messages.NodeWatch:
        return messages.NodeWatch(
            self.local_node, self.entries(), self.view.versions(), hold_s
        )

    async def _poll(self, leader: str) -> bool:
        try:
            reply = await self.transport.request(
                leader,
                self._watch_request(LONG_POLL_S),
                LONG_POLL_S + REPLY_MARGIN_S,
            )
        except errors.PeerError as error:
            loguru.logger.bind(peer=leader, error=str(error)).warning(
                'leader lost'
            )
            return False
        if reply.status != 'done':
            return False
        self.last_reply_at = self.clock()
        self.view.update(reply)
        return True
