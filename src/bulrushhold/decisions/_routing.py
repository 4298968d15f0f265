"""Which backend server gets a request, and why."""

import collections.abc as cabc
import itertools
import math
import random
import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _homes
from bulrushhold.decisions import _recovery
from bulrushhold import ports

LEAST_SPREAD: t.Final = 4
TIGHT_BOUND: t.Final = 1.05
LOOSE_BOUND: t.Final = 1.25
FULL: t.Final = 0.85
COUNTS_KEPT: t.Final = 2000.0
MIN_COUNTED: t.Final = 50.0
REPORT_HALF_LIFE_S: t.Final = 1.0
FIRST_PAUSE_S: t.Final = 0.5
LONGEST_PAUSE_S: t.Final = 15.0
LIST_LAG_S: t.Final = 30.0
BUCKETS: t.Final = 1024
MEAN_KEPT_S: t.Final = 0.5
DRAWS: t.Final = 8


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

    def load(self, now: float, mean_others: float = 0.0) -> float:
        """Return the requests thought to run there.

        The own part is exact. The others' part comes from a report, and
        fades with its age towards the mean of all: were an old report
        trusted, all entries would run to the engine that was idle then.

        :param mean_others: others' requests per engine, by all reports.
        """
        others = max(0, self.running - self.own_at_report)
        age = max(0.0, now - self.reported_at)
        trust = 0.5 ** (age / REPORT_HALF_LIFE_S)
        return self.own + mean_others + (others - mean_others) * trust

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
    """Chooses backend servers from the platform's list and own signs.

    :param rng: draws the engines that are compared.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.states: dict[str, BackendState] = {}
        self.orders: dict[str, list[BackendState]] = {}
        self.counts: dict[str, float] = {}
        self.counted = 0.0
        self.mean = 0.0
        self.mean_others = 0.0
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
        order, spread = self._ranked(model, affinity)
        for allowed in passes:
            choice = self._choose(order, spread, allowed, now)
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

    def _ranked(
        self, model: str, affinity: str
    ) -> tuple[list[BackendState], int]:
        """Return the engines as a prompt prefers them, and how many it needs.

        Ranked once for each bucket of prompts and list of engines: ranking
        600 engines for each request would take a node's whole budget. A
        prompt needs engines by its share of the requests: kept to a few,
        one that half of all requests begin with would queue there.
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
        share = self._share_of(key)
        return order, LEAST_SPREAD + math.ceil(share * len(order))

    def _share_of(self, key: str) -> float:
        """Count a request, and return its bucket's share of late."""
        self.counts[key] = self.counts.get(key, 0.0) + 1.0
        self.counted += 1.0
        if self.counted > COUNTS_KEPT:
            self.counts = {k: n / 2 for k, n in self.counts.items() if n > 1}
            self.counted = sum(self.counts.values())
        # A bucket met for the first time says nothing about its share.
        former = self.counts.get(key, 1.0) - 1.0
        return max(0.0, former) / max(self.counted, MIN_COUNTED)

    def _choose(
        self,
        order: list[BackendState],
        spread: int,
        allowed: cabc.Callable[[BackendState], bool],
        now: float,
    ) -> Choice | None:
        """Take the better of two of the engines that the prompt prefers.

        Two drawn at random (Mitzenmacher, 2001), since every entry sees
        the same late reports and would else choose the same engine. Where
        both are loaded well above the mean, the cache isn't worth the wait
        and two of all engines are drawn.
        """
        self._measure(now)
        two = self._draw(order[:spread], allowed)
        reason = 'prefix'
        if not two or self._least(two, now)[1] > self._bound(two[0]):
            two = self._draw(order, allowed) or two
            reason = 'load'
        if not two:
            return None
        best, _ = self._least(two, now)
        return Choice(best, [s.server.name for s in two], reason)

    def _draw(
        self,
        order: list[BackendState],
        allowed: cabc.Callable[[BackendState], bool],
    ) -> list[BackendState]:
        """Draw two engines that are allowed, mostly without a full scan."""
        few = self.rng.sample(order, min(DRAWS, len(order)))
        two = list(itertools.islice(filter(allowed, few), 2))
        if two or len(order) <= DRAWS:
            return two
        able = list(filter(allowed, order))
        return self.rng.sample(able, min(2, len(able)))

    def _least(
        self, able: list[BackendState], now: float
    ) -> tuple[BackendState, float]:
        loads = [(s.load(now, self.mean_others), s) for s in able]
        load, state = min(loads, key=lambda pair: pair[0])
        return state, load

    def _bound(self, state: BackendState) -> float:
        """Return the load up to which a prefix keeps its engine."""
        loose = min(LOOSE_BOUND * self.mean, FULL * state.server.slots)
        return max(TIGHT_BOUND * self.mean, loose, 1.0)

    def _measure(self, now: float) -> None:
        """Take the mean loads of open engines, once in a while."""
        if now < self.mean_until:
            return
        able = self._open('engine', now)
        others = [max(0, s.running - s.own_at_report) for s in able]
        self.mean_others = sum(others) / max(1, len(able))
        loads = [s.load(now, self.mean_others) for s in able]
        self.mean = sum(loads) / max(1, len(able))
        self.mean_until = now + MEAN_KEPT_S
