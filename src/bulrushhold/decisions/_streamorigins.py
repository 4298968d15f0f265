"""Keep where streams began, for the entries that resume them.

An entry that is lost takes its knowledge of its streams with it. Several
control processes, chosen by the stream, keep a small record of each.
"""

import collections.abc as cabc
import heapq
import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _rendezvous
from bulrushhold import messages

# With six in ten processes lost at once, all six homes of 5 in 100 streams
# are among them.
ORIGIN_HOMES: t.Final = 6
# Homes with a disk, where there are as many: after a loss of all processes at
# once, and of one disk, the other still knows.
DISK_HOMES: t.Final = 2
# Homes that each send a stream's origin to one that has joined: one of them
# may be lost as well.
ORIGIN_SENDERS: t.Final = 2
# Bounds the memory of a home, to some 15 MB.
MAX_ORIGINS: t.Final = 50_000
# Origins looked at before other work of a process gets its turn.
REPORT_BATCH: t.Final = 100

# Origins by the address of the control process that they are for.
Reports = dict[str, list[messages.StreamOrigin]]


def origin_key(account: str, host: str, path: str, ident: str) -> bytes:
    """Return the key of the stream that a request began.

    Request ids are no secret. The key therefore depends on the client account
    and the path, so that no caller learns of streams of others. It doesn't
    depend on the route, which a new map may replace by a more specific one.

    :param host: host of the request's route.
    :param path: path of the request, without the query.
    :param ident: id of the request.
    """
    text = '\0'.join((account, host, path, ident))
    return xxhash.xxh3_128_digest(text.encode())


def origin_homes(
    key: bytes, nodes: cabc.Iterable[messages.ControlNode]
) -> list[str]:
    """Return the addresses of the control processes that keep an origin.

    The first ones have a disk, as far as there are any.
    """
    ranking = _rendezvous.rendezvous_order(
        key.hex(), nodes, lambda node: node.address
    )
    with_disk = [node for node in ranking if node.replica][:DISK_HOMES]
    others = [node for node in ranking if node not in with_disk]
    homes = [*with_disk, *others][:ORIGIN_HOMES]
    return [node.address for node in homes]


@attrs.define
class _Entry:
    origin: messages.StreamOrigin
    recorded_at: float
    expires_at: float


class OriginStore:
    """The origins known to one process.

    :ivar pending: when to stop waiting for each origin that is to follow.
    """

    def __init__(self) -> None:
        self.entries: dict[bytes, _Entry] = {}
        self.pending: dict[bytes, float] = {}
        self.expiries: list[tuple[float, bytes]] = []
        self.nodes: list[messages.ControlNode] = []
        self.has_loaded = False

    def load(self, origins: list[messages.StreamOrigin], now: float) -> None:
        """Keep origins that an earlier process has stored."""
        for origin in origins:
            self.record(origin, now)
        self.has_loaded = bool(self.entries)

    def record(self, origin: messages.StreamOrigin, now: float) -> bool:
        """Keep an origin for its lifetime; return whether anything changed.

        A stream has one origin; a second report only prolongs the lifetime.
        A known version replaces an unknown one, and is never replaced.
        """
        self._expire(now)
        self.pending.pop(origin.key, None)
        expires_at = now + origin.lifetime_s
        entry = self.entries.get(origin.key)
        is_known = origin.version_known
        if entry is not None and entry.origin.version_known != is_known:
            if not is_known:
                return False
            entry = None
        if entry is None:
            entry = _Entry(origin, now, expires_at)
            self.entries[origin.key] = entry
        elif expires_at <= entry.expires_at:
            return False
        entry.recorded_at = now
        entry.expires_at = expires_at
        heapq.heappush(self.expiries, (expires_at, origin.key))
        if len(self.entries) > MAX_ORIGINS:
            del self.entries[next(iter(self.entries))]
        return True

    def record_pending(
        self, origin: messages.PendingOrigin, now: float
    ) -> None:
        """Note that an origin may follow, or that none will."""
        self._expire(now)
        self.pending.pop(origin.key, None)
        if origin.pending_s > 0:
            self.pending[origin.key] = now + origin.pending_s
        if len(self.pending) > MAX_ORIGINS:
            del self.pending[next(iter(self.pending))]

    def pending_origins(self, now: float) -> list[messages.PendingOrigin]:
        """Return the origins that may follow."""
        self._expire(now)
        return [
            messages.PendingOrigin(key, round(until - now, 2))
            for key, until in self.pending.items()
            if until > now
        ]

    def find(self, key: bytes, now: float) -> messages.OriginReply:
        """Return the origin of a stream, if it is known."""
        self._expire(now)
        entry = self.entries.get(key)
        if entry is None:
            pending_s = self.pending.get(key, now) - now
            return messages.OriginReply(pending_s=max(0.0, pending_s))
        return messages.OriginReply(
            _with_lifetime(entry, now), now - entry.recorded_at
        )

    def _expire(self, now: float) -> None:
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            entry = self.entries.get(key)
            if entry is not None and entry.expires_at <= now:
                del self.entries[key]
        while self.pending:
            oldest = next(iter(self.pending))
            if self.pending[oldest] > now:
                break
            del self.pending[oldest]

    def update_nodes(
        self,
        nodes: list[messages.ControlNode],
        now: float,
        own_address: str = '',
    ) -> cabc.Iterator[Reports]:
        """Return what to send to processes that have become homes.

        These have joined, or replace homes that have left. A process that
        has restarted keeps nothing, like a new one, or what it has read from
        its disk: it sends that to all other homes, which may have restarted
        as well. The work is done in batches, between which a caller can do
        other things.

        :param own_address: of this control process, which sends an origin
            only if it ranks high among its homes; ``''`` for an entry, which
            sends all that it has.
        """
        former_nodes, self.nodes = self.nodes, nodes
        known = {(node.address, node.incarnation) for node in former_nodes}
        joined = {
            node.address
            for node in nodes
            if (node.address, node.incarnation) not in known
        } - {own_address}
        listed = {node.address for node in nodes}
        left = {node.address for node in former_nodes} - listed
        has_just_started = bool(own_address) and not known
        self._expire(now)
        if not (joined or left) or (has_just_started and not self.has_loaded):
            return iter(())
        # Processes that join make no other process a home.
        kept_by = former_nodes if left or has_just_started else nodes
        return self._reports(joined, kept_by, nodes, now, own_address)

    def _reports(
        self,
        joined: set[str],
        kept_by: list[messages.ControlNode],
        nodes: list[messages.ControlNode],
        now: float,
        own_address: str,
    ) -> cabc.Iterator[Reports]:
        """Return what new homes lack, in batches.

        :param kept_by: the control processes whose homes have the origins,
            except for those that have joined.
        """
        entries = list(self.entries.values())
        for start in range(0, len(entries), REPORT_BATCH):
            reports: Reports = {}
            for entry in entries[start : start + REPORT_BATCH]:
                homes = origin_homes(entry.origin.key, nodes)
                kept_at = {*origin_homes(entry.origin.key, kept_by)} - joined
                if own_address:
                    kept_at.add(own_address)
                others = [home for home in homes if home in kept_at]
                if own_address and own_address not in others[:ORIGIN_SENDERS]:
                    continue
                origin = _with_lifetime(entry, now)
                for home in homes:
                    if home not in kept_at:
                        reports.setdefault(home, []).append(origin)
            if reports:
                yield reports


def _with_lifetime(entry: _Entry, now: float) -> messages.StreamOrigin:
    """Return an origin with the lifetime that is left."""
    lifetime_s = round(entry.expires_at - now, 2)
    return attrs.evolve(entry.origin, lifetime_s=lifetime_s)
