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

LEADER_CHECK_INTERVAL_S: t.Final = 0.3
# Entries wait for news while no leader is known.
LEADER_SEARCH_INTERVAL_S: t.Final = 0.1
REQUEST_TIMEOUT_S: t.Final = 0.3
# All instances start within 0.3 s of each other, and take as long to start.
BOOTSTRAP_DELAY_S: t.Final = 0.7


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
        self.join_candidates: dict[str, str] = {}
        self.bootstrap_address = ''
        self.first_join_at: float | None = None
        self.calls = _calls.LeaderCalls(
            transport, lambda: self.leader, self._never_local
        )
        transport.handle(messages.JoinRequest, self._on_join)
        transport.handle(messages.CoreRead, self._on_core_read)
        transport.handle(messages.CoreReply, self._on_core_reply)

    async def run(self) -> None:
        """Look for the leader, again and again."""
        while True:
            await self._find_leader()
            self._bootstrap_log()
            interval_s = (
                LEADER_CHECK_INTERVAL_S
                if self.leader
                else LEADER_SEARCH_INTERVAL_S
            )
            await asyncio.sleep(interval_s)

    async def _find_leader(self) -> None:
        addresses = [self.leader, *self.core, *self.join_candidates.values()]
        for address in dict.fromkeys([*addresses, *self.contacts]):
            if not address or address == self.peer:
                continue
            with contextlib.suppress(errors.PeerError):
                reply = await self.transport.request(
                    address, messages.CoreRead(), REQUEST_TIMEOUT_S
                )
                self._update_members(reply)
                if reply.leader:
                    return
        self.leader = ''

    def _update_members(self, reply: messages.CoreReply) -> None:
        if reply.config.voters:
            self.core = sorted(reply.config.voters.values())
        if reply.leader:
            self._set_leader(reply.leader)

    def _set_leader(self, leader: str) -> None:
        if leader != self.leader:
            node.log_decision('control found', peer=leader)
        self.leader = leader
        self.appoints = False

    def _bootstrap_log(self) -> None:
        """Have the first replica by address found the log.

        Only one may, and always the same one: a second log beside the
        first would take acknowledgements that nobody could find again.
        """
        if not self.appoints or self.first_join_at is None:
            return
        if self.clock() - self.first_join_at < BOOTSTRAP_DELAY_S:
            return
        if not self.bootstrap_address:
            self.bootstrap_address = min(self.join_candidates.values())
            node.log_decision('founder appointed', peer=self.bootstrap_address)
        self.transport.send(self.bootstrap_address, messages.Found())

    async def _on_join(self, request: messages.JoinRequest) -> None:
        self.join_candidates[request.replica] = request.address
        if self.first_join_at is None:
            self.first_join_at = self.clock()
        if self.leader:
            self.transport.send(self.leader, request)

    async def _on_core_read(
        self, read: messages.CoreRead
    ) -> messages.CoreReply:
        del read
        voters = {address: address for address in self.core}
        return messages.CoreReply(self.leader, messages.Config(voters=voters))

    async def _on_core_reply(self, reply: messages.CoreReply) -> None:
        self._update_members(reply)

    async def _never_local(self, request: messages.Message) -> None:
        del request
