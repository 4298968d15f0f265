"""Registry of live entries, based on their heartbeats."""

import typing as t

import attrs

from bulrushhold import messages

# Three missed long polls of 0.3 s. Until then callers may be sent to a crashed
# entry.
ENTRY_TIMEOUT_S: t.Final = 1.0
# Long enough for entries to move to another control process.
RELAYED_ENTRY_TIMEOUT_S: t.Final = 2.0
# Covers a long poll and a retry of each control process, after which a new
# leader has all entries. An incomplete list would send all callers to a few.
SETTLE_TIME_S: t.Final = 1.5
# Changes of weights alone are sent no more often than this, and than so many
# seconds for each entry: each change is sent to all entries. If most of 390
# entries have another weight, it is the full list of about 5 KB.
MIN_WEIGHT_INTERVAL_S: t.Final = 1.0
WEIGHT_INTERVAL_PER_ENTRY_S: t.Final = 0.05


@attrs.define
class _EntryRecord:
    """An entry and when each source last reported it.

    :param last_seen: time by source: the address of a control process, or
        ``''`` for the entry itself.
    """

    entry: messages.ListedEntry
    last_seen: dict[str, float] = attrs.field(factory=dict)


class EntryRegistry:
    """Live entries by name; the caller supplies the time."""

    def __init__(self) -> None:
        self.records: dict[str, _EntryRecord] = {}
        self.revision = 0
        self.term_started_at = 0.0
        self.term = 0
        self.weights_changed = False
        self.weights_published_at = float('-inf')

    def begin_term(self, term: int, now: float) -> None:
        """Clear the registry if ``term`` is a new one."""
        if term != self.term:
            self.term = term
            self.term_started_at = now
            self.records.clear()
            self.revision = 0

    def refresh(
        self, entry: messages.ListedEntry, now: float, source: str = ''
    ) -> bool:
        """Record a heartbeat; return whether the entry is new or changed.

        A change of its weight alone counts from the next call of
        :meth:`version` on that may publish it.

        :param source: the control process that reports the entry, or ``''``
            for the entry itself.
        """
        record = self.records.setdefault(entry.name, _EntryRecord(entry))
        known = attrs.evolve(
            record.entry, weight=entry.weight, load_factor=entry.load_factor
        )
        changed = not record.last_seen or known != entry
        self.weights_changed |= record.entry != known
        record.entry = entry
        record.last_seen[source] = now
        self.revision += changed
        return changed

    def refresh_source(
        self,
        source: str,
        entries: list[messages.ListedEntry],
        now: float,
    ) -> bool:
        """Record all entries of a control process; return if any changed."""
        changes = [self.refresh(entry, now, source) for entry in entries]
        names = {entry.name for entry in entries}
        removed = [
            name
            for name, record in self.records.items()
            if source in record.last_seen and name not in names
        ]
        for name in removed:
            del self.records[name].last_seen[source]
        return self._drop_stale() or any(changes)

    def expire(self, now: float) -> list[str]:
        """Drop entries whose heartbeats timed out; return their names."""
        before = set(self.records)
        for record in self.records.values():
            record.last_seen = {
                source: seen_at
                for source, seen_at in record.last_seen.items()
                if now - seen_at
                <= (RELAYED_ENTRY_TIMEOUT_S if source else ENTRY_TIMEOUT_S)
            }
        self._drop_stale()
        return sorted(before - set(self.records))

    def _drop_stale(self) -> bool:
        removed = [
            name
            for name, record in self.records.items()
            if not record.last_seen
        ]
        for name in removed:
            del self.records[name]
        self.revision += bool(removed)
        return bool(removed)

    def settled(self, now: float) -> bool:
        """Whether the term is old enough for all entries to have reported."""
        return now - self.term_started_at > SETTLE_TIME_S

    def version(self, now: float) -> str:
        """Return the version of the list, or ``''`` before it has settled."""
        interval_s = max(
            MIN_WEIGHT_INTERVAL_S,
            len(self.records) * WEIGHT_INTERVAL_PER_ENTRY_S,
        )
        if (
            self.weights_changed
            and now - self.weights_published_at >= interval_s
        ):
            self.weights_changed = False
            self.weights_published_at = now
            self.revision += 1
        return f'{self.term}.{self.revision}' if self.settled(now) else ''

    def entries(self) -> list[messages.ListedEntry]:
        """Return all entries, sorted by name."""
        return [self.records[name].entry for name in sorted(self.records)]
