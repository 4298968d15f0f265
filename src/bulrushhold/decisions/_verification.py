"""Which listed servers have shown that they are backend servers.

The platform's list also has items of other systems. What listens at their
addresses may answer every request wrongly, or close its connection, and
looks fast and idle meanwhile. A server that has answered a request as its
protocol says is verified, and its errors are those of a backend server. One
that hasn't, and fails, is left alone for a time that doubles.
"""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold.decisions import _backendserver

FIRST_PAUSE_S: t.Final = 1.0
MAX_PAUSE_S: t.Final = 60.0
# Time in which checks find out what a newly listed server is. After it, one
# that has failed nothing gets requests that may run only once, too.
CHECK_TIME_S: t.Final = 2.0


@attrs.frozen
class _Trial:
    """What is known of a server that failed before it was verified.

    :param pause_s: time in which it is left alone.
    """

    pause_s: float
    until: float


class Verification:
    """The verified servers, and the trials of those that aren't.

    :ivar verified: idents.
    :ivar failed: servers whose latest trial failed, by ident.
    :ivar strangers: listed servers that have answered a check as no backend
        server does, or were not there.
    :ivar seen_at: when each unverified server was first considered.
    """

    def __init__(self) -> None:
        self.verified: set[str] = set()
        self.failed: dict[str, _Trial] = {}
        self.strangers: set[str] = set()
        self.seen_at: dict[str, float] = {}

    def record_answer(self, ident: str) -> None:
        """Record an answer that only a backend server gives."""
        if ident not in self.verified:
            self.forget(ident)
            self.verified.add(ident)

    def record_stranger(self, ident: str) -> None:
        """Record a check by which a listed server isn't one."""
        if ident not in self.verified:
            self.strangers.add(ident)

    def record_failure(self, ident: str, now: float) -> None:
        """Record a failed request; at an unverified server, it was a trial."""
        if ident in self.verified:
            return
        before = self.failed.get(ident)
        if before is None:
            self.failed[ident] = _Trial(FIRST_PAUSE_S, now + FIRST_PAUSE_S)
        elif before.until <= now:
            pause_s = min(MAX_PAUSE_S, 2 * before.pause_s)
            self.failed[ident] = _Trial(pause_s, now + pause_s)

    def forget(self, ident: str) -> None:
        """Forget a server: another one has its ident."""
        self.verified.discard(ident)
        self.strangers.discard(ident)
        self.failed.pop(ident, None)
        self.seen_at.pop(ident, None)

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these."""
        self.verified &= idents
        self.strangers &= idents
        for known in (self.failed, self.seen_at):
            for ident in known.keys() - idents:
                del known[ident]

    def left_alone(
        self,
        services: cabc.Mapping[str, list[_backendserver.BackendServer]],
        now: float,
    ) -> set[str]:
        """Return the servers that get no request now.

        If no server of a service is verified, all of them are tried.
        """
        waiting = {i for i, trial in self.failed.items() if trial.until > now}
        if not waiting:
            return waiting
        return {
            server.ident
            for servers in services.values()
            if any(server.ident in self.verified for server in servers)
            for server in servers
            if server.ident in waiting
        }

    def for_single_run(
        self,
        servers: list[_backendserver.BackendServer],
        now: float,
        tried: set[str],
    ) -> list[_backendserver.BackendServer]:
        """Return the servers for a request that may run only once.

        They are the verified ones while there are any, and others that have
        failed nothing yet, if checks couldn't tell what they are, or if all
        verified ones have been tried.
        """
        verified = self.among(servers)
        if not verified or len(verified) == len(servers):
            return servers
        excluded = self.verified | self.strangers | self.failed.keys()
        unknown = [s for s in servers if s.ident not in excluded]
        if all(server.ident in tried for server in verified):
            return verified + unknown
        return verified + [s for s in unknown if self._may_try(s, now)]

    def among(
        self, servers: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        """Return the verified ones of some servers."""
        return [s for s in servers if s.ident in self.verified]

    def _may_try(
        self, server: _backendserver.BackendServer, now: float
    ) -> bool:
        since = self.seen_at.setdefault(server.ident, now)
        return not server.inflight and now - since >= CHECK_TIME_S
