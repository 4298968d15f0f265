"""What entries are there, as a control process last heard of each."""

import typing as t

import attrs

from bulrushhold import messages

# Entries call again every 0.3 s at the latest: three lost calls. While an
# entry that is gone is listed, callers go there and wait in vain.
ENTRY_TIMEOUT_S: t.Final = 1.0
# Entries whose control process is gone have found another one by then.
RELAYED_ENTRY_TIMEOUT_S: t.Final = 2.0
# A new leader hears of every entry within one long poll and a try at the
# former leader; until then its list is short, and callers would be sent to a
# few entries only.
SETTLE_TIME_S: t.Final = 1.5


@attrs.define
class _EntryRecord:
    """An entry, and when each source last named it.

    :param sources: addresses of control processes; ``''`` for the entry.
    """

    entry: messages.ListedEntry
    last_seen: dict[str, float] = attrs.field(factory=dict)


class EntryRegistry:
    """Entries by name; without sockets, so that time is the caller's."""

    def __init__(self) -> None:
        self.records: dict[str, _EntryRecord] = {}
        self.revision = 0
        self.term_started_at = 0.0
        self.term = 0

    def lead(self, term: int, now: float) -> None:
        """Begin anew as leader of ``term``; nothing is known yet."""
        if term != self.term:
            self.term = term
            self.term_started_at = now
            self.records.clear()
            self.revision = 0

    def hear(
        self, entry: messages.ListedEntry, now: float, source: str = ''
    ) -> bool:
        """Take what an entry says of itself; return whether it is news.

        :param source: control process that names it, if not it itself.
        """
        record = self.records.setdefault(entry.name, _EntryRecord(entry))
        changed = not record.last_seen or record.entry != entry
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
        """Take the entries at a control process; return whether it is news."""
        changes = [self.hear(entry, now, source) for entry in entries]
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
        """Drop entries that have been silent; return their names."""
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
        """Whether every entry had the time to call."""
        return now - self.term_started_at > SETTLE_TIME_S

    def version(self, now: float) -> str:
        """Return the version of the list; ``''`` while it is not settled."""
        return f'{self.term}.{self.revision}' if self.settled(now) else ''

    def entries(self) -> list[messages.ListedEntry]:
        """Return all entries, by name."""
        return [self.records[name].entry for name in sorted(self.records)]
