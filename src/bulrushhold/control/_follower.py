"""Follows the leader's news from another control process."""

import asyncio
import collections.abc as cabc
import typing as t

import loguru

from bulrushhold.control import _news
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

HOLD_S: t.Final = 0.3
# Over a hold by what a reply takes on a slow link and a busy leader.
REPLY_S: t.Final = 0.3
PAUSE_S: t.Final = 0.05
# Longer than an election: entries stay meanwhile. Short enough for them to
# find out elsewhere what operators were acknowledged.
IN_TOUCH_S: t.Final = 1.4


class NewsFollower:
    """Holds a long poll at the leader, and names the entries here to it.

    :param me: this process.
    :param leader: returns the leader's address; this process's own, or
        ``''``, where there is none to follow.
    :param entries: returns the entries that are attached here.
    """

    def __init__(
        self,
        transport: ports.Transport,
        me: messages.ControlNode,
        news: _news.News,
        leader: cabc.Callable[[], str],
        entries: cabc.Callable[[], list[messages.ListedEntry]],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.transport = transport
        self.me = me
        self.news = news
        self.leader = leader
        self.entries = entries
        self.clock = clock
        self.last_reply_at = float('-inf')

    @property
    def in_touch(self) -> bool:
        """Whether a leader has answered lately."""
        return self.clock() - self.last_reply_at < IN_TOUCH_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            leader = self._other_leader()
            if not leader or not await self._poll(leader):
                await asyncio.sleep(PAUSE_S)

    def announce(self) -> None:
        """Name the entries here to the leader, without waiting."""
        leader = self._other_leader()
        if leader:
            self.transport.send(leader, self._watch(0.0))

    def _other_leader(self) -> str:
        leader = self.leader()
        return '' if leader == self.me.address else leader

    def _watch(self, hold_s: float) -> messages.NodeWatch:
        return messages.NodeWatch(
            self.me, self.entries(), self.news.known(), hold_s
        )

    async def _poll(self, leader: str) -> bool:
        try:
            reply = await self.transport.request(
                leader, self._watch(HOLD_S), HOLD_S + REPLY_S
            )
        except errors.PeerError as error:
            loguru.logger.bind(peer=leader, error=str(error)).warning(
                'leader lost'
            )
            return False
        if reply.status != 'done':
            return False
        self.last_reply_at = self.clock()
        self.news.take(reply)
        return True
