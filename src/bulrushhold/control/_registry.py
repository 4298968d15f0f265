"""What entries are there, as a control process last heard of each."""

import typing as t

import attrs

from bulrushhold import messages

# Entries call again every 0.3 s at the latest: three lost calls. While an
# entry that is gone is listed, callers go there and wait in vain.
SILENCE_S: t.Final = 1.0
# Entries whose control process is gone have found another one by then.
RELAYED_SILENCE_S: t.Final = 2.0
# A new leader hears of every entry within one long poll and a try at the
# former leader; until then its list is short, and callers would be sent to a
# few entries only.
SETTLING_S: t.Final = 1.5


@attrs.define
class _Listed:
    """An entry, and when each source last named it.

    :param sources: addresses of control processes; ``''`` for the entry.
    """

    entry: messages.ListedEntry
    sources: dict[str, float] = attrs.field(factory=dict)


class EntryRegistry:
    """Entries by name; without sockets, so that time is the caller's."""

    def __init__(self) -> None:
        self.listed: dict[str, _Listed] = {}
        self.number = 0
        self.since = 0.0
        self.term = 0

    def lead(self, term: int, now: float) -> None:
        """Begin anew as leader of ``term``; nothing is known yet."""
        if term != self.term:
            self.term = term
            self.since = now
            self.listed.clear()
            self.number = 0

    def hear(
        self, entry: messages.ListedEntry, now: float, source: str = ''
    ) -> bool:
        """Take what an entry says of itself; return whether it is news.

        :param source: control process that names it, if not it itself.
        """
        known = self.listed.setdefault(entry.name, _Listed(entry))
        changed = not known.sources or known.entry != entry
        known.entry = entry
        known.sources[source] = now
        self.number += changed
        return changed

    def hear_all(
        self,
        source: str,
        entries: list[messages.ListedEntry],
        now: float,
    ) -> bool:
        """Take the entries at a control process; return whether it is news."""
        changes = [self.hear(entry, now, source) for entry in entries]
        named = {entry.name for entry in entries}
        gone = [
            name
            for name, listed in self.listed.items()
            if source in listed.sources and name not in named
        ]
        for name in gone:
            del self.listed[name].sources[source]
        return self._drop_unnamed() or any(changes)

    def expire(self, now: float) -> list[str]:
        """Drop entries that have been silent; return their names."""
        before = set(self.listed)
        for listed in self.listed.values():
            listed.sources = {
                source: at
                for source, at in listed.sources.items()
                if now - at <= (RELAYED_SILENCE_S if source else SILENCE_S)
            }
        self._drop_unnamed()
        return sorted(before - set(self.listed))

    def _drop_unnamed(self) -> bool:
        gone = [
            name for name, listed in self.listed.items() if not listed.sources
        ]
        for name in gone:
            del self.listed[name]
        self.number += bool(gone)
        return bool(gone)

    def settled(self, now: float) -> bool:
        """Whether every entry had the time to call."""
        return now - self.since > SETTLING_S

    def version(self, now: float) -> str:
        """Return the version of the list; ``''`` while it is not settled."""
        return f'{self.term}.{self.number}' if self.settled(now) else ''

    def entries(self) -> list[messages.ListedEntry]:
        """Return all entries, by name."""
        return [self.listed[name].entry for name in sorted(self.listed)]
