"""What entries are there, as the leader last heard from each."""

import typing as t

import attrs

from bulrushhold import messages

# Entries call again every 0.3 s at the latest: three lost calls. While an
# entry that is gone is listed, callers go there and wait in vain.
SILENCE_S: t.Final = 1.0
# A new leader hears from every entry within one held call and a try at the
# former leader; until then its list is short, and callers would be sent to a
# few entries only.
SETTLING_S: t.Final = 1.5


@attrs.define
class _Heard:
    entry: messages.ListedEntry
    at: float


class EntryRegistry:
    """Entries by name; without sockets, so that time is the caller's."""

    def __init__(self) -> None:
        self.heard: dict[str, _Heard] = {}
        self.number = 0
        self.since = 0.0
        self.term = 0

    def lead(self, term: int, now: float) -> None:
        """Begin anew as leader of ``term``; nothing is known yet."""
        if term != self.term:
            self.term = term
            self.since = now
            self.heard.clear()
            self.number = 0

    def hear(self, entry: messages.ListedEntry, now: float) -> bool:
        """Take what an entry says of itself; return whether it is news."""
        known = self.heard.get(entry.name)
        self.heard[entry.name] = _Heard(entry, now)
        changed = known is None or known.entry != entry
        self.number += changed
        return changed

    def expire(self, now: float) -> list[str]:
        """Drop entries that have been silent; return their names."""
        gone = [
            name
            for name, heard in self.heard.items()
            if now - heard.at > SILENCE_S
        ]
        for name in gone:
            del self.heard[name]
        self.number += bool(gone)
        return gone

    def settled(self, now: float) -> bool:
        """Whether every entry had the time to call."""
        return now - self.since > SETTLING_S

    def version(self, now: float) -> str:
        """Return the version of the list; ``''`` while it is not settled."""
        return f'{self.term}.{self.number}' if self.settled(now) else ''

    def entries(self) -> list[messages.ListedEntry]:
        """Return all entries, by name."""
        return [self.heard[name].entry for name in sorted(self.heard)]
