"""Grants retries to entries from the budgets that they share."""

import asyncio
import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

CHECK_INTERVAL_S: t.Final = 0.1
# Copies are sent again at this interval, as their receiver may have restarted.
COPY_INTERVAL_S: t.Final = 1.0
# Without contact to the leader for this time, another process may have become
# the home.
MAX_CONTACT_GAP_S: t.Final = 1.0


class RetryServer:
    """Answers the entries that have this process as a service's home.

    :param local_address: of this process.
    :param has_leader_contact: returns whether the view is current.
    :param first_start: whether the whole system starts for the first time.
    """

    def __init__(
        self,
        transport: ports.Transport,
        local_address: str,
        view: _clusterview.ClusterView,
        has_leader_contact: cabc.Callable[[], bool],
        clock: cabc.Callable[[], float],
        *,
        first_start: bool,
    ) -> None:
        self.transport = transport
        self.view = view
        self.has_leader_contact = has_leader_contact
        self.clock = clock
        self.home = decisions.RetryHome(
            local_address,
            random.Random(),
            clock(),
            first_start=first_start,
        )
        self.nodes: list[tuple[str, bool]] = []
        self.contact_at = clock()
        self.copied_at = float('-inf')
        self.has_granted = False
        self.summarized_at = clock()
        transport.handle(messages.RetryAsk, self._on_ask)
        transport.handle(messages.RetryPoolCopy, self._on_copy)
        transport.handle(messages.RetryPoolUpdate, self._on_update)
        transport.handle(messages.RetryDelay, self._on_delay)

    async def run(self) -> None:
        """Send copies of what was granted until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.clock()
            is_due = now - self.copied_at >= COPY_INTERVAL_S
            if self._update(now) and (self.has_granted or is_due):
                self._send_copies(now)
            if now - self.summarized_at >= decisions.SUMMARY_S:
                self.summarized_at = now
                for grants in self.home.take_summaries(now):
                    node.log_decision('retry home', **attrs.asdict(grants))

    def _update(self, now: float) -> bool:
        """Follow the view; return whether it is current."""
        if not self.has_leader_contact():
            return False
        nodes = [(n.address, n.replica) for n in self.view.nodes]
        if nodes != self.nodes:
            self.nodes = nodes
            self.home.update_nodes(self.view.nodes, now)
            self.copied_at = float('-inf')
        if now - self.contact_at > MAX_CONTACT_GAP_S:
            self.home.record_isolation(now)
        self.contact_at = now
        return True

    def _send_copies(self, now: float) -> None:
        self.copied_at = now
        self.has_granted = False
        services = {b.service for b in self.view.backends or ()}
        for address, copy in self.home.copies(sorted(services), now):
            self.transport.send(address, copy)

    async def _on_ask(self, ask: messages.RetryAsk) -> messages.RetryGrant:
        now = self.clock()
        if not self._update(now):
            return messages.RetryGrant(0, 0, CHECK_INTERVAL_S)
        grant = self.home.grant(ask, now)
        granted = grant.begun + grant.other
        if granted:
            self.has_granted = True
            self._send_update(ask.service, granted)
        return grant

    def _send_update(self, service: str, count: int) -> None:
        """Tell the next home before the entry can use the grant."""
        address = self.home.next_home(service)
        if address:
            self.transport.send(
                address, messages.RetryPoolUpdate(service, count)
            )

    async def _on_update(self, update: messages.RetryPoolUpdate) -> None:
        self.home.record_granted(update.service, update.count, self.clock())

    async def _on_delay(self, delay: messages.RetryDelay) -> None:
        self.home.record_delay(delay.service, delay.count, self.clock())
        self.has_granted = True

    async def _on_copy(self, copy: messages.RetryPoolCopy) -> None:
        self.home.receive(copy, self.clock())
