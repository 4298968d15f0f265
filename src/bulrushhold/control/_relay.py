"""A control process without a disk: knows where the others are.

Operators, entries and newcomers may be told of any control process. One
without a disk keeps nothing, and so has no vote; it leads them on.
"""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold.control import _calls
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

LOOK_EVERY_S: t.Final = 0.3
# Entries wait for news while no leader is known.
SEEK_EVERY_S: t.Final = 0.1
ASK_S: t.Final = 0.3
# All instances start within 0.3 s of each other, and take as long to start.
FOUND_AFTER_S: t.Final = 0.7


class Relay:
    """Follows control, and names its leader to whoever asks.

    :param peer: this process's own address.
    :param contacts: control processes, with or without a disk.
    :param appoints: this is the first start of all, and this process the
        one that says which replica founds the log.
    """

    def __init__(
        self,
        transport: ports.Transport,
        peer: str,
        contacts: list[str],
        *,
        appoints: bool,
        clock: cabc.Callable[[], float] = node.boot_time,
    ) -> None:
        self.transport = transport
        self.peer = peer
        self.contacts = contacts
        self.appoints = appoints
        self.clock = clock
        self.leader = ''
        self.core: list[str] = []
        self.newcomers: dict[str, str] = {}
        self.founder = ''
        self.first_at: float | None = None
        self.calls = _calls.LeaderCalls(
            transport, lambda: self.leader, self._never_here
        )
        transport.handle(messages.JoinRequest, self._on_join)
        transport.handle(messages.CoreRead, self._on_core_read)
        transport.handle(messages.CoreReply, self._on_news)

    async def run(self) -> None:
        """Look for the leader, again and again."""
        while True:
            await self._look()
            self._appoint()
            every = LOOK_EVERY_S if self.leader else SEEK_EVERY_S
            await asyncio.sleep(every)

    async def _look(self) -> None:
        known = [self.leader, *self.core, *self.newcomers.values()]
        for address in dict.fromkeys([*known, *self.contacts]):
            if not address or address == self.peer:
                continue
            with contextlib.suppress(errors.PeerError):
                reply = await self.transport.request(
                    address, messages.CoreRead(), ASK_S
                )
                self._learn(reply)
                if reply.leader:
                    return
        self.leader = ''

    def _learn(self, news: messages.CoreReply) -> None:
        if news.config.voters:
            self.core = sorted(news.config.voters.values())
        if news.leader:
            self._follow(news.leader)

    def _follow(self, leader: str) -> None:
        if leader != self.leader:
            node.log_decision('control found', peer=leader)
        self.leader = leader
        self.appoints = False

    def _appoint(self) -> None:
        """Have the first replica by address found the log.

        Only one may, and always the same one: a second log beside the
        first would take acknowledgements that nobody could find again.
        """
        if not self.appoints or self.first_at is None:
            return
        if self.clock() - self.first_at < FOUND_AFTER_S:
            return
        if not self.founder:
            self.founder = min(self.newcomers.values())
            node.log_decision('founder appointed', peer=self.founder)
        self.transport.send(self.founder, messages.Found())

    async def _on_join(self, request: messages.JoinRequest) -> None:
        self.newcomers[request.replica] = request.address
        if self.first_at is None:
            self.first_at = self.clock()
        if self.leader:
            self.transport.send(self.leader, request)

    async def _on_core_read(
        self, read: messages.CoreRead
    ) -> messages.CoreReply:
        del read
        voters = {address: address for address in self.core}
        return messages.CoreReply(self.leader, messages.Config(voters=voters))

    async def _on_news(self, news: messages.CoreReply) -> None:
        self._learn(news)

    async def _never_here(self, request: messages.Message) -> None:
        del request
