"""Raft log of one replica: a snapshot and the entries after it."""

import msgspec

from bulrushhold import messages


class RaftLog:
    """Log entries by index, and the latest configuration among them.

    :param snapshot: replaces all entries up to its index.
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
        """Index of the last entry, whether persisted or not."""
        return self.snapshot.index + len(self.entries)

    def slice(self, first: int, count: int) -> list[messages.LogEntry]:
        """Return up to ``count`` entries, starting at index ``first``."""
        start = first - self.snapshot.index - 1
        return self.entries[start : start + count]

    def slice_within(
        self, first: int, count: int, limit: int
    ) -> list[messages.LogEntry]:
        """Return entries of at most ``limit`` bytes, but at least one."""
        entries = self.slice(first, count)
        size = 0
        for number, entry in enumerate(entries):
            size += len(entry.data)
            if size > limit and number:
                return entries[:number]
        return entries

    def term_of(self, index: int) -> int:
        """Return the term of an entry, or 0 if the log doesn't hold it."""
        if index == self.snapshot.index:
            return self.snapshot.index_term
        if index < self.snapshot.index or index > self.last_index:
            return 0
        return self.entries[index - self.snapshot.index - 1].term

    def append(self, entry: messages.LogEntry) -> None:
        """Append an entry, and adopt its configuration if it has one."""
        self.entries.append(entry)
        if entry.kind == messages.KIND_CONFIG:
            self.refresh_config()

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self.entries[index - self.snapshot.index - 1 :]
        if self.config_index >= index:
            self.refresh_config()

    def replace(self, snapshot: messages.InstallSnapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.entries = []
        self.refresh_config()

    def compact(
        self, index: int, term: int, ident: str, state: bytes
    ) -> messages.InstallSnapshot:
        """Replace the entries up to ``index`` by a snapshot.

        :param term: current term of the replica.
        :param ident: identity of the replica.
        :param state: encoded state machine as of ``index``.
        """
        remaining = self.slice(index + 1, self.last_index - index)
        self.snapshot = messages.InstallSnapshot(
            term,
            ident,
            index,
            self.term_of(index),
            self.config_at(index),
            state,
            0,
        )
        self.entries = remaining
        return self.snapshot

    def leader_of(self, term: int) -> str:
        """Return the leader of a term from the no-op entry that starts it.

        ``''`` unless the log ends in that term and still holds the no-op.
        """
        for entry in reversed(self.entries):
            if entry.term != term:
                break
            if entry.kind == messages.KIND_NOOP:
                return entry.data.decode()
        return ''

    def refresh_config(self) -> None:
        """Set the configuration from the last configuration entry."""
        self.config_index = self.snapshot.index
        self.config = self.snapshot.config
        for entry in reversed(self.entries):
            if entry.kind == messages.KIND_CONFIG:
                self.config_index = entry.index
                self.config = _decode_config(entry)
                return

    def config_at(self, index: int) -> messages.Config:
        """Return the configuration as of ``index``."""
        config = self.snapshot.config
        for entry in self.entries:
            if entry.index > index:
                break
            if entry.kind == messages.KIND_CONFIG:
                config = _decode_config(entry)
        return config


def _decode_config(entry: messages.LogEntry) -> messages.Config:
    return msgspec.msgpack.decode(entry.data, type=messages.Config)
