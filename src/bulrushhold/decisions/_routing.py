"""Which backend server gets a request, and why."""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold.decisions import _homes
from bulrushhold.decisions import _recovery
from bulrushhold import ports

AFFINITY_CHOICES: t.Final = 2
LOAD_BOUND: t.Final = 1.25
REPORT_HALF_LIFE_S: t.Final = 2.0
FIRST_PAUSE_S: t.Final = 0.5
LONGEST_PAUSE_S: t.Final = 15.0
LIST_LAG_S: t.Final = 30.0


@attrs.define
class BackendState:
    """What this entry knows of one backend server.

    :param running: its last report of requests running, all entries'.
    :param reported_at: monotonic seconds of that report.
    :param own_at_report: this entry's own part of it.
    :param failures: failures in a row.
    :param closed_until: monotonic seconds until it gets no request.
    :param left_until: the same, after it asked for no new work.
    """

    server: ports.BackendServer
    own: int = 0
    running: int = 0
    reported_at: float = -1e9
    own_at_report: int = 0
    failures: int = 0
    closed_until: float = 0.0
    listed: bool = True
    left_until: float = 0.0
    suspects: int = 0
    gaps: _recovery.GapEstimate = attrs.field(factory=_recovery.GapEstimate)

    def load(self, now: float) -> float:
        """Return the requests thought to run there.

        The own part is exact. The others' part comes from an old report
        and loses weight with age: were it trusted for long, all entries
        would run to the engine that was idle seconds ago.
        """
        others = max(0, self.running - self.own_at_report)
        age = max(0.0, now - self.reported_at)
        return self.own + others * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def report(self, running: int, now: float) -> None:
        """Take in a load report."""
        self.running = running
        self.reported_at = now
        self.own_at_report = self.own

    def failed(self, now: float) -> None:
        """Leave the server alone, longer after each failure in a row."""
        self.failures += 1
        pause = FIRST_PAUSE_S * 2 ** (self.failures - 1)
        self.closed_until = now + min(LONGEST_PAUSE_S, pause)

    def succeeded(self) -> None:
        """Forget the failures."""
        self.failures = 0
        self.closed_until = 0.0


@attrs.frozen
class Choice:
    """One routing decision, with what the log line needs."""

    state: BackendState | None
    candidates: list[str]
    reason: str

    @property
    def chosen(self) -> str:
        """Name of the chosen server, or ``''``."""
        return self.state.server.name if self.state else ''


class Router:
    """Chooses backend servers from the platform's list and own signs."""

    def __init__(self) -> None:
        self.states: dict[str, BackendState] = {}

    def update(self, servers: list[ports.BackendServer]) -> None:
        """Take in the platform's list."""
        listed = {server.name: server for server in servers}
        for name, state in list(self.states.items()):
            if name not in listed:
                state.listed = False
                if state.own == 0:
                    del self.states[name]
        for name, server in listed.items():
            state = self.states.get(name)
            if state is None or state.server.address != server.address:
                self.states[name] = BackendState(server)
                continue
            state.server = server
            state.listed = True

    def mark_leaving(self, name: str, now: float) -> None:
        """Give a server nothing new, ahead of the platform's list.

        Only for as long as the list may lag: a server that was restarted
        under its old name would else never get work again.
        """
        state = self.states.get(name)
        if state is not None:
            state.left_until = now + LIST_LAG_S

    def choose_engine(
        self,
        model: str,
        affinity: str,
        now: float,
        *,
        version: str = '',
        avoid: cabc.Collection[str] = (),
        suspect: bool = False,
    ) -> Choice:
        """Choose an engine for a generation.

        :param affinity: prompt prefix whose cache is worth keeping.
        :param version: the only version that may continue the answer.
        :param avoid: engines that this request has lost already.
        :param suspect: the request may have killed an engine; it then
            gets one without another suspect, so that a second death
            names it alone.
        """
        able = [
            state
            for state in self._open('engine', now)
            if model in state.server.models
            and version in ('', state.server.models[model])
        ]
        if not able:
            return Choice(None, [], 'no engine of that model and version')
        fresh = [s for s in able if s.server.name not in avoid] or able
        if suspect:
            fresh = [s for s in fresh if s.suspects == 0] or fresh
        return self._choose(fresh, f'{model}\0{affinity}', now)

    def choose_service(
        self,
        service: str,
        now: float,
        avoid: cabc.Collection[str] = (),
    ) -> Choice:
        """Choose a server of a plain service by its load."""
        able = self._open(service, now)
        if not able:
            return Choice(None, [], 'no server of that service')
        fresh = [s for s in able if s.server.name not in avoid] or able
        best = min(fresh, key=lambda s: (s.load(now), s.server.name))
        return Choice(best, [s.server.name for s in fresh], 'least load')

    def has_kind(self, kind: str) -> bool:
        """Whether the platform lists any server of that kind."""
        return any(s.server.kind == kind for s in self.states.values())

    def _open(self, kind: str, now: float) -> list[BackendState]:
        return [
            state
            for state in self.states.values()
            if state.server.kind == kind
            and state.listed
            and not state.server.leaving
            and now >= max(state.closed_until, state.left_until)
        ]

    def _choose(
        self, able: list[BackendState], affinity: str, now: float
    ) -> Choice:
        """Take the better of two that the prompt's prefix prefers.

        Their load is bounded by the mean (consistent hashing with bounded
        loads, Mirrokni et al., 2016); beyond that, the cache isn't worth
        the wait and the request goes further down the ranking.
        """
        order = _homes.ranked(affinity, able, lambda s: s.server.name)
        loads = {s.server.name: s.load(now) for s in able}
        bound = LOAD_BOUND * (sum(loads.values()) + 1) / len(able)
        within = [s for s in order if loads[s.server.name] <= bound]
        two = (within or order)[:AFFINITY_CHOICES]
        best = min(two, key=lambda s: loads[s.server.name])
        reason = 'prefix' if best is order[0] else 'load'
        return Choice(best, [s.server.name for s in two], reason)
