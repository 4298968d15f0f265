"""Request limits that backend servers name in their responses.

A limit holds for all entries together, for as long as responses name it. An
entry sends a request to a limited server only with a permit of the server's
home, see :mod:`._permithome`; without contact to the home it may use an equal
part of a small share of the limit that the home leaves free.
"""

import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold import messages

# A server that accepts nothing is still tried this often, or no response
# could ever end its limit.
MIN_RATE_PER_S: t.Final = 0.25
# Servers with a limit above this are not in need.
MAX_RATE_PER_S: t.Final = 1000.0
# Share of a limit that is divided among all entries without permits.
FLOOR_SHARE: t.Final = 0.2


@attrs.define
class _ServerLimit:
    """The newest known limit of a server.

    :param per_s: requests per second; ``None`` after the limit has ended.
    :param as_of: monotonic seconds at which this was known to be the case.
    :param held_until: time until which no request is sent to the server.
    :param free_at: when its limit allows a request, as far as is known.
    :param next_floor_at: when the floor allows the next request.
    """

    per_s: float | None
    as_of: float
    held_until: float = 0.0
    free_at: float = 0.0
    next_floor_at: float | None = None


class RequestLimits:
    """The request limits of backend servers, as known by one entry.

    :ivar on_change: called when there is a change to report.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.on_change: cabc.Callable[[], None] = lambda: None
        self.servers: dict[str, _ServerLimit] = {}
        self.unreported: set[str] = set()

    def current(self, ident: str) -> float | None:
        """Return a server's limit in requests per second, if it has one."""
        server = self.servers.get(ident)
        return server.per_s if server is not None else None

    def limited_count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(s.per_s is not None for s in self.servers.values())

    def age_s(self, ident: str, now: float) -> float:
        """Return the age of the newest statement of a known server."""
        return max(0.0, now - self.servers[ident].as_of)

    # News

    def record(self, ident: str, per_s: float | None, as_of: float) -> bool:
        """Record a response's limit; return whether the limit has changed.

        :param per_s: requests per second; ``None`` if it names no limit.
        :param as_of: monotonic seconds; older statements than the newest
            known one are ignored.
        """
        changed = self._update(ident, per_s, as_of)
        if changed:
            self.unreported.add(ident)
            self.on_change()
        return changed

    def apply(
        self, changes: list[messages.ServerLimit], now: float
    ) -> list[messages.ServerLimit]:
        """Apply changes that other entries reported; return the new ones."""
        return [
            change
            for change in changes
            if self._update(change.server, change.per_s, now - change.age_s)
        ]

    def _update(self, ident: str, per_s: float | None, as_of: float) -> bool:
        if per_s is not None:
            per_s = max(MIN_RATE_PER_S, per_s)
            per_s = per_s if per_s <= MAX_RATE_PER_S else None
        server = self.servers.get(ident)
        if server is None:
            if per_s is None:
                return False
            server = self.servers[ident] = _ServerLimit(None, as_of)
        elif as_of <= server.as_of:
            return False
        server.as_of = as_of
        changed = per_s != server.per_s
        if changed:
            server.per_s = per_s
            server.held_until = server.free_at = 0.0
            server.next_floor_at = None
        return changed

    def take_unreported(self, now: float) -> list[messages.ServerLimit]:
        """Return the changes for the other entries, and clear them."""
        idents, self.unreported = self.unreported, set()
        return [
            messages.ServerLimit(
                ident, self.servers[ident].per_s, self.age_s(ident, now)
            )
            for ident in sorted(idents)
            if ident in self.servers
        ]

    def requeue(self, changes: list[messages.ServerLimit]) -> None:
        """Queue changes again that may not have been delivered."""
        self.unreported.update(change.server for change in changes)

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these; a restarted one has a new ident."""
        for ident in [i for i in self.servers if i not in idents]:
            del self.servers[ident]

    # Requests

    def hold(self, ident: str, until: float, free_at: float) -> None:
        """Leave a server out until its limit allows more requests.

        :param until: when a request that can't wait may be tried again.
        :param free_at: when a request that can wait would be allowed.
        """
        server = self.servers.get(ident)
        if server is not None and server.per_s is not None:
            server.held_until = until
            server.free_at = free_at

    def free_at(self, ident: str) -> float:
        """Return when a server's limit allows a request, as far as known."""
        server = self.servers.get(ident)
        return server.free_at if server is not None else 0.0

    def is_held(self, ident: str, now: float) -> bool:
        """Whether a server's limit is known to be used up."""
        server = self.servers.get(ident)
        return server is not None and server.held_until > now

    def held(self, now: float) -> set[str]:
        """Return the idents of all servers whose limit is used up."""
        return {
            ident
            for ident, server in self.servers.items()
            if server.held_until > now
        }

    def take_floor(self, ident: str, entries: int, now: float) -> float:
        """Take a request from this entry's part of the floor.

        The first request of each entry is at a random time, so that many
        entries don't send theirs at once.

        :param entries: number of entries that share the floor.
        :return: seconds until the floor allows it; 0 if it was taken.
        """
        server = self.servers[ident]
        assert server.per_s is not None
        interval_s = max(1, entries) / (FLOOR_SHARE * server.per_s)
        if server.next_floor_at is None:
            server.next_floor_at = now + self.rng.random() * interval_s
        if server.next_floor_at > now:
            return server.next_floor_at - now
        server.next_floor_at = now + interval_s
        return 0.0
