"""Serves cluster view and load reports to the attached entries."""

import asyncio
import collections.abc as cabc
import contextlib
import random
import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold.control import _registry
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Batches load changes, as each update is a message to every attached entry.
PUBLISH_INTERVAL_S: t.Final = 0.15
# Minimum time between two load sums sent to other control processes.
EXCHANGE_INTERVAL_S: t.Final = 0.05
# Sums are repeated as heartbeats when nothing has changed.
REFRESH_INTERVAL_S: t.Final = 0.1
# Replicas without attached entries get sums less often: they need them only
# once an entry attaches.
BROADCAST_INTERVAL_S: t.Final = 1.0
# The same while a rollout is running, whose evidence the leader needs.
ROLLOUT_BROADCAST_INTERVAL_S: t.Final = 0.2
EXPIRY_INTERVAL_S: t.Final = 0.1
# Batches entries that attach at the same time.
ATTACH_BATCH_S: t.Final = 0.05


class WatchServer:
    """Answers entries' long polls and exchanges load with its peers.

    Load reports bypass the replicated log: each entry sends them to one
    control process of its data centre, which sends their sum to its peers.

    :param local_node: this process.
    :param view: the cluster view that is served.
    :param has_leader_contact: returns whether the view is current.
    :param leader_address: returns the address that entries are redirected
        to while the view is not current.
    """

    def __init__(
        self,
        transport: ports.Transport,
        local_node: messages.ControlNode,
        view: _clusterview.ClusterView,
        has_leader_contact: cabc.Callable[[], bool],
        leader_address: cabc.Callable[[], str],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.transport = transport
        self.local_node = local_node
        self.view = view
        self.has_leader_contact = has_leader_contact
        self.leader_address = leader_address
        self.clock = clock
        self.loads = decisions.LoadAggregator(
            local_node.address, local_node.data_centre, random.getrandbits(32)
        )
        self.registry = _registry.EntryRegistry()
        self.attach_hooks: list[cabc.Callable[[], None]] = []
        self.published_number = 0
        self.publish_scheduled = False
        self.hooks_scheduled = False
        self.reports_changed = asyncio.Event()
        self.has_sent_reports = False
        self.broadcast_at = float('-inf')
        transport.handle(messages.Watch, self._on_watch)
        transport.handle(messages.LoadReport, self._on_load_report)
        transport.handle(messages.NodeLoad, self._on_node_load)

    def entries(self) -> list[messages.ListedEntry]:
        """Return the entries that are attached to this process."""
        return self.registry.entries()

    async def run(self) -> None:
        """Exchange load sums and expire entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._expire())
            group.create_task(self._send_sums())

    # Entries

    async def _on_watch(self, watch: messages.Watch) -> messages.WatchReply:
        received_at = self.clock()
        if self.registry.refresh(watch.entry, received_at):
            self._schedule_attach_hooks()
        if self.has_leader_contact():
            await self.view.wait(
                lambda: self._has_changes(watch), watch.hold_s
            )
        # Check again: the process may have been suspended during the poll.
        if self.has_leader_contact():
            reply = self.view.reply(watch.known)
        else:
            core = self.view.voter_addresses
            reply = messages.WatchReply(
                'not_leader', self.leader_address(), core
            )
        return attrs.evolve(
            reply,
            loads=self._summary(watch),
            held_s=round(self.clock() - received_at, 3),
        )

    def _schedule_attach_hooks(self) -> None:
        if not self.hooks_scheduled:
            self.hooks_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(ATTACH_BATCH_S, self._run_attach_hooks)

    def _run_attach_hooks(self) -> None:
        self.hooks_scheduled = False
        for hook in self.attach_hooks:
            hook()

    def _has_changes(self, watch: messages.Watch) -> bool:
        return (
            self.published_number > watch.known_loads
            or self.view.is_newer_than(watch.known)
        )

    def _summary(self, watch: messages.Watch) -> messages.LoadSummary | None:
        known_number = watch.known_loads
        if self.loads.number == known_number:
            return None
        if self.loads.number < known_number:
            # The number was issued before a restart of this process.
            known_number = 0
        return self.loads.summary_for(
            watch.entry.name, known_number, self.clock()
        )

    async def _on_load_report(
        self, report: messages.LoadReport
    ) -> messages.Received:
        if self.loads.add_report(report, self.clock()):
            self._log_events(report)
            self._publish()
        else:
            self._publish_soon()
        self.reports_changed.set()
        return messages.Received()

    def _log_events(self, report: messages.LoadReport) -> None:
        if report.lost or report.replaced:
            node.log_decision(
                'engines lost',
                engines=report.lost,
                replaced=report.replaced,
                by=report.entry,
            )
        if report.answering:
            node.log_decision(
                'lost engines answer',
                engines=report.answering,
                by=report.entry,
            )
        for limit in report.limits:
            node.log_decision(
                'server limit reported',
                backend=limit.server,
                per_s=limit.per_s,
                by=report.entry,
            )

    async def _on_node_load(self, load: messages.NodeLoad) -> None:
        previous = self.loads.number
        if self.loads.add_node_load(load, self.clock()):
            self._publish()
        elif self.loads.number != previous:
            self._publish_soon()

    def _publish_soon(self) -> None:
        if not self.publish_scheduled:
            self.publish_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(PUBLISH_INTERVAL_S, self._publish)

    def _publish(self) -> None:
        self.publish_scheduled = False
        self.published_number = self.loads.number
        self.view.notify()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """Drop entries that no longer poll, and the load that they reported.

        After a pause of this process, reports sent meanwhile arrive when their
        entries have expired already. They would count for ever.
        """
        now = self.clock()
        expired = self.registry.expire(now)
        detached = self.loads.reports.keys() - self.registry.records.keys()
        for name in sorted(detached):
            self.loads.remove_report(name)
        if expired:
            node.log_decision('entries expired', entries=expired)
            self._run_attach_hooks()
        if self.loads.expire(now) or detached:
            self._publish_soon()

    # Other control processes

    async def _send_sums(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REFRESH_INTERVAL_S):
                    await self.reports_changed.wait()
            self.reports_changed.clear()
            # Send one empty sum after the last entry has left; otherwise
            # peers would keep counting its load.
            has_reports = bool(self.loads.reports)
            if has_reports or self.has_sent_reports:
                self._send_sum()
            self.has_sent_reports = has_reports
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def _send_sum(self) -> None:
        now = self.clock()
        load = self.loads.node_load(now)
        for address in self._receivers(now):
            self.transport.send(address, load)

    def _receivers(self, now: float) -> set[str]:
        """Return the addresses of processes that have or may get entries."""
        interval_s = (
            ROLLOUT_BROADCAST_INTERVAL_S
            if self.loads.has_evidence
            else BROADCAST_INTERVAL_S
        )
        broadcast = now - self.broadcast_at > interval_s
        if broadcast:
            self.broadcast_at = now
        receivers = {
            peer.address
            for peer in self.view.nodes
            if broadcast or not peer.replica
        }
        receivers.update(self.loads.live_nodes(now))
        return receivers - {self.local_node.address}
