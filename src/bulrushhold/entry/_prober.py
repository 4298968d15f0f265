"""Failure detection among entries by periodic probes."""

import asyncio
import collections.abc as cabc
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

PERIOD_S: t.Final = decisions.MEMBERSHIP_PERIOD_S
PROBE_TIMEOUT_S: t.Final = decisions.MEMBERSHIP_PROBE_TIMEOUT_S


class Prober:
    """Runs the SWIM membership protocol over the transport."""

    def __init__(
        self,
        membership: decisions.Membership,
        transport: ports.Transport,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.membership = membership
        self.transport = transport
        self.clock = clock
        transport.handle(messages.Probe, self._on_probe)
        transport.handle(messages.ProbeFor, self._on_probe_for)
        transport.handle(messages.MemberNews, self._on_news)

    async def run(self, period_s: float = PERIOD_S) -> None:
        """Probe one entry per period until cancelled."""
        while True:
            started = self.clock()
            target = self.membership.next_target()
            if target is not None:
                await self._probe(target)
            self.membership.tick(self.clock())
            elapsed = self.clock() - started
            await asyncio.sleep(max(0.0, period_s - elapsed))

    def announce_start(self) -> None:
        """Announce to every entry that this one has started.

        It has lost the pointers and copies that an earlier process at its
        address held for them.
        """
        self._announce(self.membership.own_update())

    def announce_leaving(self) -> None:
        """Announce to every entry that this one accepts no new requests."""
        self._announce(self.membership.start_leaving())

    def _announce(self, news: messages.MemberNews) -> None:
        """Send an update directly.

        Gossip on probes takes several periods to reach all entries.
        """
        for member in self.membership.members.values():
            self.transport.send(member.instance.peer, news)

    async def _probe(self, target: ports.Instance) -> None:
        if await self._send_probe(target.peer, PROBE_TIMEOUT_S):
            self.membership.answered(target.name, self.clock())
            return
        helpers = self.membership.helpers(target.name)
        request = messages.ProbeFor(
            target.peer, self.membership.take_updates()
        )
        answers = await asyncio.gather(
            *(self._probe_through(helper, request) for helper in helpers)
        )
        if any(answers):
            return
        was_usable = self.membership.usable(target.name)
        self.membership.unanswered(target.name, self.clock())
        if was_usable:
            node.log_decision(
                'member silent',
                member=target.name,
                helpers=[helper.name for helper in helpers],
                reason='no answer to this entry or its helpers',
            )

    async def _send_probe(self, address: str, timeout: float) -> bool:
        probe = messages.Probe(self.membership.take_updates())
        try:
            reply = await self.transport.request(address, probe, timeout)
        except errors.PeerError:
            return False
        self.membership.apply_updates(reply.news, self.clock())
        return True

    async def _probe_through(
        self, helper: ports.Instance, request: messages.ProbeFor
    ) -> bool:
        try:
            reply = await self.transport.request(
                helper.peer, request, 2 * PROBE_TIMEOUT_S
            )
        except errors.PeerError:
            return False
        return reply.answered

    async def _on_probe(self, probe: messages.Probe) -> messages.ProbeReply:
        self.membership.apply_updates(probe.news, self.clock())
        return messages.ProbeReply(True, self.membership.take_updates())

    async def _on_probe_for(
        self, request: messages.ProbeFor
    ) -> messages.ProbeReply:
        self.membership.apply_updates(request.news, self.clock())
        answered = await self._send_probe(request.target, PROBE_TIMEOUT_S)
        return messages.ProbeReply(answered, self.membership.take_updates())

    async def _on_news(self, news: messages.MemberNews) -> None:
        self.membership.apply_updates([news], self.clock())
