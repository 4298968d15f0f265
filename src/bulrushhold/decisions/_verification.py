"""Which listed servers have shown that they are backend servers.

The platform's list also has items of other systems. What listens at their
addresses may answer every request wrongly, or close its connection, and
looks fast and idle meanwhile. A server that has answered a request as its
protocol says is verified, until it answers several wrongly in a row. One that
isn't, and answers wrongly, is left alone for a time that doubles.
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
MAX_WRONG_ANSWERS: t.Final = 3
# Failures within this time count once: connections may break together.
FAILURE_SPREAD_S: t.Final = 0.05


@attrs.frozen
class _Trial:
    """What is known of a server that failed before it was verified.

    :param pause_s: time in which it is left alone.
    """

    pause_s: float
    until: float


@attrs.frozen
class _WrongAnswers:
    """Wrong answers of a verified server since its last right one.

    :param last_at: when the last one was counted.
    """

    count: int
    last_at: float


class Verification:
    """The verified servers, and the trials of those that aren't.

    :ivar verified: idents.
    :ivar failed: unverified servers whose latest answer was wrong, by ident.
    :ivar unreached: unverified servers that couldn't be reached.
    :ivar wrong: verified servers whose last answers were wrong, by ident.
    :ivar strangers: listed servers that have answered a check as no backend
        server does, or were not there.
    :ivar seen_at: when each unverified server was first considered.
    """

    def __init__(self) -> None:
        self.verified: set[str] = set()
        self.failed: dict[str, _Trial] = {}
        self.strangers: set[str] = set()
        self.unreached: set[str] = set()
        self.wrong: dict[str, _WrongAnswers] = {}
        self.seen_at: dict[str, float] = {}

    def record_answer(self, ident: str) -> None:
        """Record an answer that only a backend server gives."""
        if ident not in self.verified:
            self.forget(ident)
            self.verified.add(ident)

    def record_head(self, ident: str) -> None:
        """Record the head of such an answer, which may still break off."""
        if ident not in self.failed:
            self.record_answer(ident)

    def record_success(self, ident: str) -> None:
        """Record a whole answer."""
        self.wrong.pop(ident, None)
        self.record_answer(ident)

    def record_stranger(self, ident: str) -> None:
        """Record a check by which a listed server isn't one."""
        if ident not in self.verified:
            self.strangers.add(ident)

    def record_failure(
        self, ident: str, now: float, *, unreachable: bool
    ) -> None:
        """Record a failed request; at an unverified server, it was a trial.

        :param unreachable: it got no answer at all, rather than a wrong one.
        """
        if ident in self.verified and (
            unreachable or not self._is_wrong_again(ident, now)
        ):
            return
        self.verified.discard(ident)
        if unreachable:
            # It is left alone for a time as any server that was lost.
            self.unreached.add(ident)
            return
        before = self.failed.get(ident)
        if before is None:
            self.failed[ident] = _Trial(FIRST_PAUSE_S, now + FIRST_PAUSE_S)
        elif before.until <= now:
            pause_s = min(MAX_PAUSE_S, 2 * before.pause_s)
            self.failed[ident] = _Trial(pause_s, now + pause_s)

    def _is_wrong_again(self, ident: str, now: float) -> bool:
        """Count a wrong answer; return whether it is one too many."""
        before = self.wrong.get(ident, _WrongAnswers(0, float('-inf')))
        if now - before.last_at < FAILURE_SPREAD_S:
            return False
        count = before.count + 1
        self.wrong[ident] = _WrongAnswers(count, now)
        return count >= MAX_WRONG_ANSWERS

    def forget(self, ident: str) -> None:
        """Forget a server: another one has its ident."""
        for idents in (self.verified, self.strangers, self.unreached):
            idents.discard(ident)
        for known in (self.failed, self.wrong, self.seen_at):
            known.pop(ident, None)

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these."""
        self.verified &= idents
        self.strangers &= idents
        self.unreached &= idents
        for known in (self.failed, self.wrong, self.seen_at):
            for ident in known.keys() - idents:
                del known[ident]

    def left_alone(
        self,
        servers: cabc.Mapping[str, _backendserver.BackendServer],
        gone: cabc.Container[str],
        now: float,
    ) -> set[str]:
        """Return the servers that get no request now.

        While no verified server of a service can be used, all are tried.

        :param servers: all listed ones, by ident.
        :param gone: servers that the list doesn't show as leaving.
        """
        waiting = {i for i, trial in self.failed.items() if trial.until > now}
        if not waiting:
            return waiting
        services = {
            servers[ident].service
            for ident in self.verified & servers.keys()
            if ident not in gone
            and not servers[ident].leaving
            and servers[ident].ejected_until <= now
        }
        return {
            ident
            for ident in waiting & servers.keys()
            if servers[ident].service in services
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
        unknown = [
            server
            for server in self.without_strangers(servers)
            if server.ident not in self.verified
        ]
        # An entry that has just started knows few of them.
        is_new_here = len(unknown) > len(verified)
        if is_new_here or all(s.ident in tried for s in verified):
            return verified + unknown
        return verified + [s for s in unknown if self._may_try(s, now)]

    def among(
        self, servers: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        """Return the verified ones of some servers."""
        return [s for s in servers if s.ident in self.verified]

    def without_strangers(
        self, servers: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        """Return the servers of which nothing shows that they are none."""
        excluded = self.strangers | self.unreached | self.failed.keys()
        if not excluded:
            return servers
        return [s for s in servers if s.ident not in excluded]

    def is_suspect(self, ident: str) -> bool:
        """Whether a server has failed before, and never answered since.

        What it does to a request shows nothing of the request.
        """
        trial = self.failed.get(ident)
        failed_again = trial is not None and trial.pause_s > FIRST_PAUSE_S
        return failed_again or ident in self.strangers

    def usable_versions(
        self, servers: cabc.Iterable[_backendserver.BackendServer]
    ) -> dict[str, set[str]]:
        """Return the versions of servers that stay, by service.

        Those of servers that have failed a trial, or weren't identified, don't
        count.
        """
        versions: dict[str, set[str]] = {}
        for server in self.without_strangers(list(servers)):
            if not server.leaving:
                versions.setdefault(server.service, set()).add(server.version)
        return versions

    def _may_try(
        self, server: _backendserver.BackendServer, now: float
    ) -> bool:
        since = self.seen_at.setdefault(server.ident, now)
        return not server.inflight and now - since >= CHECK_TIME_S
