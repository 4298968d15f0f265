"""The entries of one replica, on top of its snapshot."""

import msgspec

from bulrushhold import messages


class RaftLog:
    """Entries by index, and the members that the newest of them name.

    :param snapshot: stands for all entries up to its index.
    """

    def __init__(
        self,
        snapshot: messages.InstallSnapshot,
        entries: list[messages.LogEntry],
    ) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self.refresh_config()

    @property
    def last_index(self) -> int:
        """Index of the last entry, saved or not."""
        return self.snapshot.index + len(self.entries)

    def slice(self, first: int, count: int) -> list[messages.LogEntry]:
        """Return up to ``count`` entries from index ``first`` on."""
        start = first - self.snapshot.index - 1
        return self.entries[start : start + count]

    def slice_within(
        self, first: int, count: int, limit: int
    ) -> list[messages.LogEntry]:
        """Return entries within ``limit`` bytes, but at least one."""
        entries = self.slice(first, count)
        size = 0
        for number, entry in enumerate(entries):
            size += len(entry.data)
            if size > limit and number:
                return entries[:number]
        return entries

    def term_of(self, index: int) -> int:
        """Return the term of an entry; 0 where it isn't known."""
        if index == self.snapshot.index:
            return self.snapshot.index_term
        if index < self.snapshot.index or index > self.last_index:
            return 0
        return self.entries[index - self.snapshot.index - 1].term

    def append(self, entry: messages.LogEntry) -> None:
        """Add the next entry."""
        self.entries.append(entry)
        if entry.kind == messages.KIND_CONFIG:
            self.refresh_config()

    def truncate(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it."""
        del self.entries[index - self.snapshot.index - 1 :]
        if self.config_index >= index:
            self.refresh_config()

    def replace(self, snapshot: messages.InstallSnapshot) -> None:
        """Let a snapshot stand for everything."""
        self.snapshot = snapshot
        self.entries = []
        self.refresh_config()

    def compact(
        self, index: int, term: int, ident: str, state: bytes
    ) -> messages.InstallSnapshot:
        """Drop the entries up to ``index`` in favour of a snapshot.

        :param term: of the replica, whose ``ident`` is given.
        """
        kept = self.slice(index + 1, self.last_index - index)
        self.snapshot = messages.InstallSnapshot(
            term,
            ident,
            index,
            self.term_of(index),
            self.config_at(index),
            state,
            0,
        )
        self.entries = kept
        return self.snapshot

    def leader_of(self, term: int) -> str:
        """Return who led a term, where the log ends in its entries.

        The first entry of a term names its leader; ``''`` where a snapshot
        has taken its place.
        """
        for entry in reversed(self.entries):
            if entry.term != term:
                break
            if entry.kind == messages.KIND_NOOP:
                return entry.data.decode()
        return ''

    def refresh_config(self) -> None:
        """Take the members from the last configuration in the log."""
        self.config_index = self.snapshot.index
        self.config = self.snapshot.config
        for entry in reversed(self.entries):
            if entry.kind == messages.KIND_CONFIG:
                self.config_index = entry.index
                self.config = _decode_config(entry)
                return

    def config_at(self, index: int) -> messages.Config:
        """Return the members as of an entry."""
        config = self.snapshot.config
        for entry in self.entries:
            if entry.index > index:
                break
            if entry.kind == messages.KIND_CONFIG:
                config = _decode_config(entry)
        return config


def _decode_config(entry: messages.LogEntry) -> messages.Config:
    return msgspec.msgpack.decode(entry.data, type=messages.Config)
