"""Aggregate load reports per control process and over all processes.

Each entry sees only its own streams and their failures. Entries report to a
control process of their data centre, and the processes exchange sums, so that
traffic between data centres doesn't grow with the number of entries.
"""

import collections
import typing as t

from bulrushhold.decisions import _failuretotals
from bulrushhold.decisions import _loadevents
from bulrushhold.decisions import _loadnodes
from bulrushhold.decisions import _loadtotals
from bulrushhold.decisions import _rolloutevidence
from bulrushhold.decisions import _slownesstotals
from bulrushhold import messages

# Events are kept for processes that were briefly disconnected. An older loss
# no longer matters: the engine has restarted or left the list.
EVENT_TTL_S: t.Final = 2.0
# Ends of blocks closer than this are those of one block, reported twice.
SAME_BLOCK_S: t.Final = 1.0
# Without a sum for this time, i.e. several in a row, a process isn't live.
SUM_MISSING_AFTER_S: t.Final = 0.8
# An older sum no longer reflects the load of the engines.
SUM_TTL_S: t.Final = 2.0
# By then the entries of a lost process report to another process.
NODE_TTL_S: t.Final = 10.0


class _ServiceEvidence:
    """Sums of the evidence about rollouts, by service."""

    def __init__(self) -> None:
        self.totals: dict[str, _rolloutevidence.EvidenceTotal] = {}

    def replace(
        self,
        before: dict[str, messages.RolloutEvidence],
        after: dict[str, messages.RolloutEvidence],
    ) -> None:
        """Replace the evidence of one reporter."""
        for service in before.keys() | after.keys():
            total = self.totals.setdefault(
                service, _rolloutevidence.EvidenceTotal()
            )
            total.replace(before.get(service), after.get(service))

    def snapshot(self) -> dict[str, messages.RolloutEvidence]:
        """Return the sums; those without requests are left out."""
        return {
            service: total.snapshot()
            for service, total in self.totals.items()
            if total.received or total.samples
        }


class LoadAggregator:
    """Aggregate of the newest reports of all entries.

    :param node: peer address of this process.
    :param incarnation: differs between starts of this process.
    """

    def __init__(
        self, node: str = '', data_centre: str = '', incarnation: int = 0
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.number = 0
        self.reports: dict[str, messages.LoadReport] = {}
        self.nodes: dict[str, _loadnodes.Node] = {}
        self.events: collections.deque[_loadevents.Event] = collections.deque()
        self.blocks: dict[str, _loadevents.BlockEvent] = {}
        self.local = _loadtotals.LoadTotal()
        self.total = _loadtotals.LoadTotal()
        self.slowness = _slownesstotals.SlownessTotals()
        self.failures = _failuretotals.FailureTotals()
        self.local_evidence = _ServiceEvidence()
        self.total_evidence = _ServiceEvidence()
        # Changes of two entries may cancel out in the total, but not in the
        # summary for either of them, which excludes its own load.
        self.changed_engines: set[str] = set()
        self.summed_number = -1

    # Receiving

    def add_report(self, report: messages.LoadReport, now: float) -> bool:
        """Add an entry's report; return whether it contains new events."""
        self.number += 1
        existing = self.reports.get(report.entry)
        self.reports[report.entry] = report
        self._replace_evidence(existing, report)
        self.slowness.add(report.samples, now)
        self.slowness.refresh(self.number, now)
        self.failures.add(report.entry, report.failures or {}, now)
        self.failures.refresh(self.number, now)
        previous = existing.engines if existing is not None else {}
        self.changed_engines.update(
            ident
            for ident in previous.keys() | report.engines.keys()
            if previous.get(ident) != report.engines.get(ident)
        )
        return self._add_events(report, now, local=True)

    def remove_report(self, entry: str) -> None:
        """Remove the report of an entry that has left."""
        report = self.reports.pop(entry, None)
        if report is not None:
            self.number += 1
            self._replace_evidence(report, None)

    def add_node_load(self, load: messages.NodeLoad, now: float) -> bool:
        """Add another process's sum; return whether it contains new events."""
        node = self.nodes.get(load.node)
        if node is None or node.incarnation != load.incarnation:
            if node is not None:
                self._replace_node_evidence(node, {})
            node = _loadnodes.Node(load.data_centre, load.incarnation, now)
            self.nodes[load.node] = node
        node.at = now
        incarnation, number = load.acknowledged.get(self.node, (0, 0))
        node.acknowledged = number if incarnation == self.incarnation else 0
        # Unlike loads, evidence is sent whole each time.
        self._replace_node_evidence(node, load.sum.evidence)
        previous = node.sum
        if not node.update(load):
            return False
        complete = not load.since
        self.slowness.apply_node(
            load.node, load.sum.samples, now, complete=complete
        )
        self.failures.apply_node(
            load.node, load.sum.failures or {}, now, complete=complete
        )
        if previous != node.sum:
            self.number += 1
            self.slowness.refresh(self.number, now)
            self.failures.refresh(self.number, now)
        return self._add_events(load.sum, now, local=False)

    def expire(self, now: float) -> bool:
        """Remove old events and sums; return whether any sum was removed."""
        while self.events and now - self.events[0].at > EVENT_TTL_S:
            self.events.popleft()
        self.blocks = {
            fingerprint: block
            for fingerprint, block in self.blocks.items()
            if block.until > now
        }
        for address, node in list(self.nodes.items()):
            if now - node.at > NODE_TTL_S:
                self._replace_node_evidence(node, {})
                del self.nodes[address]
                self.slowness.remove_node(address)
                self.failures.remove_node(address)
        outdated = [
            node
            for node in self.nodes.values()
            if (node.sum is not None or node.evidence)
            and now - node.at > SUM_TTL_S
        ]
        for node in outdated:
            self._replace_node_evidence(node, {})
            node.clear_sum()
        self.number += bool(outdated)
        return bool(outdated)

    def _add_events(
        self, report: messages.LoadReport, now: float, *, local: bool
    ) -> bool:
        if not report.urgent:
            return False
        self.expire(now)
        events = [
            *(
                _loadevents.Event(self.number, now, local, lost=ident)
                for ident in report.lost
            ),
            *(
                _loadevents.Event(self.number, now, local, replaced=ident)
                for ident in report.replaced
            ),
            *(
                _loadevents.Event(self.number, now, local, crash=crash)
                for crash in report.crashes
            ),
            *(
                _loadevents.Event(self.number, now, local, answering=ident)
                for ident in report.answering or ()
            ),
        ]
        new_events = [
            event
            for event in events
            if not _loadevents.is_repeated(event, self.events)
        ]
        new_events += [
            _loadevents.Event(self.number, now, local, limit=limit)
            for limit in report.limits
            if self._is_new_limit(limit, now)
        ]
        self.events.extend(new_events)
        new_blocks = self._add_blocks(report.blocks, now, local=local)
        return bool(new_events) or new_blocks

    def _add_blocks(
        self,
        blocks: list[messages.RequestBlock],
        now: float,
        *,
        local: bool,
    ) -> bool:
        is_any_new = False
        for block in blocks:
            until = now + block.remaining_s
            known = self.blocks.get(block.fingerprint)
            if known is not None and until < known.until + SAME_BLOCK_S:
                continue
            self.blocks[block.fingerprint] = _loadevents.BlockEvent(
                self.number, until, local, block
            )
            is_any_new = True
        return is_any_new

    def _is_new_limit(self, limit: messages.ServerLimit, now: float) -> bool:
        """Whether a limit is newer than the newest known one, and differs.

        Processes repeat what others haven't acknowledged, so that an old
        limit may arrive after its end.
        """
        newest = max(
            (
                event
                for event in self.events
                if event.limit is not None
                and event.limit.server == limit.server
            ),
            key=_loadevents.limit_as_of,
            default=None,
        )
        if newest is None or newest.limit is None:
            return True
        is_newer = now - limit.age_s > _loadevents.limit_as_of(newest)
        return is_newer and limit.per_s != newest.limit.per_s

    # Publishing

    def summary_for(
        self, entry: str, since: int, now: float = 0.0
    ) -> messages.LoadSummary:
        """Return the load of all entries except one, as a summary.

        :param since: number of the summary that the entry has; 0 for none.
        """
        self._update_sums()
        total = self.total
        engines = total.changed_since(since)
        traffic, speeds = total.traffic, total.speeds
        own = self.reports.get(entry)
        if own is not None:
            engines = _loadtotals.subtract_engines(engines, own.engines)
            traffic, speeds = dict(traffic), dict(speeds)
            _loadtotals.add_traffic(traffic, own.traffic, -1)
            _loadtotals.add_speeds(speeds, own.speeds, -1)
        if not since:
            engines = {
                i: engine_load
                for i, engine_load in engines.items()
                if engine_load != _loadtotals.NO_LOAD
            }
        events = [event for event in self.events if event.number > since]
        lost, answering = _loadevents.losses_and_answers(events)
        return messages.LoadSummary(
            self.number,
            engines,
            lost,
            [event.replaced for event in events if event.replaced],
            traffic,
            [e.crash_now(now) for e in events if e.crash is not None],
            speeds,
            self.age_s(now),
            self.stale_data_centres(now),
            since,
            [e.limit_now(now) for e in events if e.limit is not None],
            [b.now(now) for b in self.blocks.values() if b.number > since],
            self.slowness.changed_since(since),
            self.failures.others_since(entry, since, now),
            answering,
        )

    def node_load(self, now: float) -> messages.NodeLoad:
        """Return the sum of this process's entries, for other processes."""
        self._update_sums()
        acknowledged = [
            node.acknowledged
            for node in self.nodes.values()
            if _is_live(node, now)
        ]
        since = min(acknowledged, default=0)
        events = [e for e in self.events if e.local and e.number > since]
        lost, answering = _loadevents.losses_and_answers(events)
        return messages.NodeLoad(
            self.node,
            self.data_centre,
            self.incarnation,
            self.number,
            since,
            messages.LoadReport(
                self.node,
                self.local.changed_since(since),
                lost,
                [event.replaced for event in events if event.replaced],
                self.local.traffic,
                [e.crash_now(now) for e in events if e.crash is not None],
                self.local.speeds,
                self.local_evidence.snapshot(),
                [e.limit_now(now) for e in events if e.limit is not None],
                [
                    b.now(now)
                    for b in self.blocks.values()
                    if b.local and b.number > since
                ],
                self.slowness.sums_since(since, now),
                self.failures.sums_since(since, now),
                answering,
            ),
            {
                address: (node.incarnation, node.received)
                for address, node in self.nodes.items()
            },
        )

    def evidence(self) -> dict[str, messages.RolloutEvidence]:
        """Return the evidence about rollouts of all entries, by service."""
        return self.total_evidence.snapshot()

    @property
    def has_evidence(self) -> bool:
        """Whether an entry of this process reports on a rollout."""
        return any(report.evidence for report in self.reports.values())

    def engine_loads(self) -> dict[str, messages.EngineLoad] | None:
        """Return the load of all entries by engine; idle ones are missing.

        :return: ``None`` without a recent report of any entry.
        """
        sums = any(node.sum is not None for node in self.nodes.values())
        if not self.reports and not sums:
            return None
        self._update_sums()
        return self.total.engines

    def speeds(self) -> dict[str, messages.EngineSpeed]:
        """Return the speed samples of all entries, by service."""
        self._update_sums()
        return self.total.speeds

    def reporters(self) -> frozenset[str]:
        """Return the entries and processes whose reports are added up."""
        nodes = [a for a, node in self.nodes.items() if node.sum is not None]
        return frozenset([*self.reports, *nodes])

    def lost_since(self, since: float) -> set[str]:
        """Return engines lost since then, or replaced recently."""
        return {
            event.lost or event.replaced
            for event in self.events
            if event.replaced or event.at >= since
        }

    def live_nodes(self, now: float) -> list[str]:
        """Return the addresses of processes whose sums arrive."""
        return [a for a, node in self.nodes.items() if _is_live(node, now)]

    def stale_data_centres(self, now: float) -> list[str]:
        """Return the other data centres of which no process is live."""
        live = {
            node.data_centre
            for node in self.nodes.values()
            if _is_live(node, now)
        }
        existing = {node.data_centre for node in self.nodes.values()}
        return sorted(existing - live - {self.data_centre})

    def age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest sum that still counts."""
        ages = [
            now - node.at
            for node in self.nodes.values()
            if _is_live(node, now)
        ]
        return round(max(ages, default=0.0), 3)

    def _replace_evidence(
        self,
        old: messages.LoadReport | None,
        new: messages.LoadReport | None,
    ) -> None:
        before = old.evidence if old is not None else {}
        after = new.evidence if new is not None else {}
        self.local_evidence.replace(before, after)
        self.total_evidence.replace(before, after)

    def _replace_node_evidence(
        self,
        node: _loadnodes.Node,
        evidence: dict[str, messages.RolloutEvidence],
    ) -> None:
        self.total_evidence.replace(node.evidence, evidence)
        node.evidence = evidence

    def _update_sums(self) -> None:
        """Recompute the sums, once for all readers."""
        if self.summed_number == self.number:
            return
        self.summed_number = self.number
        local = _loadtotals.LoadTotal()
        for report in self.reports.values():
            local.add(report)
        total = local.copy()
        for node in self.nodes.values():
            if node.sum is not None:
                total.add(node.sum)
        self.local.replace(local, self.number)
        self.total.replace(total, self.number, self.changed_engines)
        self.changed_engines.clear()


def _is_live(node: _loadnodes.Node, now: float) -> bool:
    return now - node.at <= SUM_MISSING_AFTER_S
