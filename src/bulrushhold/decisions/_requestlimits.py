"""Request limits that backend servers name in their responses.

A limit holds for all entries together, for as long as responses name it.
"""

import collections.abc as cabc
import typing as t

import attrs

# A server that accepts nothing is still tried this often, or no response
# could ever end its limit.
MIN_RATE_PER_S: t.Final = 0.1
# Servers with a limit above this are not in need.
MAX_RATE_PER_S: t.Final = 1000.0


@attrs.define
class _ServerLimit:
    """The newest known limit of a server.

    :param per_s: requests per second; ``None`` after the limit has ended.
    :param as_of: monotonic seconds at which this was known to be the case.
    """

    per_s: float | None
    as_of: float


class RequestLimits:
    """The request limits of backend servers, as known by one entry."""

    def __init__(self) -> None:
        self.servers: dict[str, _ServerLimit] = {}
        self.malformed: set[str] = set()

    def current(self, ident: str) -> float | None:
        """Return a server's limit in requests per second, if it has one."""
        server = self.servers.get(ident)
        return server.per_s if server is not None else None

    def record(self, ident: str, per_s: float | None, as_of: float) -> bool:
        """Record the limit of a server; return whether it has changed.

        :param per_s: requests per second; ``None`` if it has no limit.
        :param as_of: monotonic seconds; older statements than the newest
            known one are ignored.
        """
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
        server.per_s = per_s
        return changed

    def mark_malformed(self, ident: str) -> bool:
        """Return whether a server's malformed limit is its first one."""
        if ident in self.malformed:
            return False
        self.malformed.add(ident)
        return True

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these; a restarted one has a new ident."""
        self.malformed &= idents
        for ident in [i for i in self.servers if i not in idents]:
            del self.servers[ident]
