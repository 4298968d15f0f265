"""Which backend server gets a request, and why."""

import collections.abc as cabc
import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _homes
from bulrushhold.decisions import _recovery
from bulrushhold import ports

AFFINITY_CHOICES: t.Final = 2
LOAD_BOUND: t.Final = 1.25
REPORT_HALF_LIFE_S: t.Final = 2.0
FIRST_PAUSE_S: t.Final = 0.5
LONGEST_PAUSE_S: t.Final = 15.0
LIST_LAG_S: t.Final = 30.0
BUCKETS: t.Final = 1024
MEAN_KEPT_S: t.Final = 0.2


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

    def open(self, now: float) -> bool:
        """Whether it may get new requests."""
        return (
            self.listed
            and not self.server.leaving
            and now >= self.closed_until
            and now >= self.left_until
        )

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
        self.orders: dict[str, list[BackendState]] = {}
        self.mean = 0.0
        self.mean_until = 0.0

    def update(self, servers: list[ports.BackendServer]) -> None:
        """Take in the platform's list."""
        self.orders = {}
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

        def able(state: BackendState) -> bool:
            found = state.server.models.get(model)
            return (
                state.open(now)
                and found is not None
                and (version in ('', found))
            )

        passes: list[cabc.Callable[[BackendState], bool]] = []
        if suspect:
            passes.append(
                lambda s: able(s)
                and s.server.name not in avoid
                and s.suspects == 0
            )
        passes.append(lambda s: able(s) and s.server.name not in avoid)
        passes.append(able)
        order = self._ranked(model, affinity)
        for allowed in passes:
            choice = self._walk(order, allowed, now)
            if choice is not None:
                return choice
        return Choice(None, [], 'no engine of that model and version')

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
            if state.server.kind == kind and state.open(now)
        ]

    def _ranked(self, model: str, affinity: str) -> list[BackendState]:
        """Return the engines in the order that a prompt prefers.

        Ranked once for each bucket of prompts and list of engines: ranking
        600 engines for each request would take a node's whole budget.
        """
        bucket = xxhash.xxh3_64_intdigest(affinity.encode()) % BUCKETS
        key = f'{model}\0{bucket}'
        order = self.orders.get(key)
        if order is None:
            engines = [
                s for s in self.states.values() if s.server.kind == 'engine'
            ]
            order = _homes.ranked(key, engines, lambda s: s.server.name)
            self.orders[key] = order
        return order

    def _walk(
        self,
        order: list[BackendState],
        allowed: cabc.Callable[[BackendState], bool],
        now: float,
    ) -> Choice | None:
        """Take the better of two that the prompt's prefix prefers.

        Their load is bounded by the mean (consistent hashing with bounded
        loads, Mirrokni et al., 2016); beyond that, the cache isn't worth
        the wait and the request goes further down the ranking.
        """
        bound = LOAD_BOUND * (self._mean_load(now) + 1 / max(1, len(order)))
        two: list[tuple[float, BackendState]] = []
        over: tuple[float, BackendState] | None = None
        for state in order:
            if not allowed(state):
                continue
            load = state.load(now)
            if load <= bound:
                two.append((load, state))
                if len(two) == AFFINITY_CHOICES:
                    break
            elif over is None or load < over[0]:
                over = (load, state)
        if not two and over is None:
            return None
        best = min(two or [over], key=lambda pair: pair[0])[1]
        names = [s.server.name for _, s in two] or [best.server.name]
        reason = 'prefix' if best is order[0] else 'load'
        return Choice(best, names, reason)

    def _mean_load(self, now: float) -> float:
        """Return the mean load of open engines, at most a second old."""
        if now >= self.mean_until:
            loads = [s.load(now) for s in self._open('engine', now)]
            self.mean = sum(loads) / max(1, len(loads))
            self.mean_until = now + MEAN_KEPT_S
        return max(self.mean, 1.0)
