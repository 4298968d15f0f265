"""A control process without a disk, which forwards to the leader.

Operators, entries and joining replicas may be configured with the address
of any control process. A relay stores nothing and has no vote.
"""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold.control import _leaderclient
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

LEADER_CHECK_INTERVAL_S: t.Final = 0.3
# Used while the leader is unknown, as entries get no updates then.
LEADER_SEARCH_INTERVAL_S: t.Final = 0.1
REQUEST_TIMEOUT_S: t.Final = 0.3
# Time for all replicas to request to join before one of them is selected.
BOOTSTRAP_DELAY_S: t.Final = 0.7


class Relay:
    """Tracks the leader and forwards requests to it.

    :param peer: this process's own address.
    :param contacts: addresses of control processes, replicas or relays.
    :param bootstraps: whether this is the first start of the cluster, and
        this relay selects the replica that bootstraps the log.
    """

    def __init__(
        self,
        transport: ports.Transport,
        peer: str,
        contacts: list[str],
        *,
        bootstraps: bool,
        clock: cabc.Callable[[], float] = node.boot_time,
    ) -> None:
        self.transport = transport
        self.peer = peer
        self.contacts = contacts
        self.bootstraps = bootstraps
        self.clock = clock
        self.leader = ''
        self.voter_addresses: list[str] = []
        self.join_candidates: dict[str, str] = {}
        self.bootstrap_address = ''
        self.first_join_at: float | None = None
        self.leader_client = _leaderclient.LeaderClient(
            transport, lambda: self.leader, self._handle_locally
        )
        transport.handle(messages.JoinRequest, self._on_join)
        transport.handle(messages.CoreRead, self._on_core_read)
        transport.handle(messages.CoreReply, self._on_core_reply)

    async def run(self) -> None:
        """Track the leader until cancelled."""
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
        addresses = [
            self.leader,
            *self.voter_addresses,
            *self.join_candidates.values(),
        ]
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
            self.voter_addresses = sorted(reply.config.voters.values())
        if reply.leader:
            self._set_leader(reply.leader)

    def _set_leader(self, leader: str) -> None:
        if leader != self.leader:
            node.log_decision('leader found', peer=leader)
        self.leader = leader
        self.bootstraps = False

    def _bootstrap_log(self) -> None:
        """Order the replica with the lowest address to bootstrap the log.

        Only one replica is ever chosen: a second log would accept writes
        that are lost once the other log is used.
        """
        if not self.bootstraps or self.first_join_at is None:
            return
        if self.clock() - self.first_join_at < BOOTSTRAP_DELAY_S:
            return
        if not self.bootstrap_address:
            self.bootstrap_address = min(self.join_candidates.values())
            node.log_decision(
                'bootstrap replica selected', peer=self.bootstrap_address
            )
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
        voters = {address: address for address in self.voter_addresses}
        return messages.CoreReply(self.leader, messages.Config(voters=voters))

    async def _on_core_reply(self, reply: messages.CoreReply) -> None:
        self._update_members(reply)

    async def _handle_locally(self, request: messages.Message) -> None:
        del request
