"""Routing of requests to backend servers."""

import collections.abc as cabc
import itertools
import math
import random
import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _recovery
from bulrushhold.decisions import _rendezvous
from bulrushhold import ports

MIN_CANDIDATES: t.Final = 4
# Bounds of the load up to which prefix affinity is kept, relative to the mean.
MIN_LOAD_FACTOR: t.Final = 1.05
MAX_LOAD_FACTOR: t.Final = 1.25
# Above this share of its slots, an engine counts as full.
FULL_SLOTS_FRACTION: t.Final = 0.85
# Request counts of prompt buckets are halved above this sum, so that unused
# prompts lose their weight.
MAX_COUNT_TOTAL: t.Final = 2000.0
MIN_COUNT_TOTAL: t.Final = 50.0
REPORT_HALF_LIFE_S: t.Final = 1.0
INITIAL_BACKOFF_S: t.Final = 0.5
MAX_BACKOFF_S: t.Final = 15.0
# Upper bound of the time by which the platform's list lags.
DISCOVERY_LAG_S: t.Final = 30.0
PROMPT_BUCKETS: t.Final = 1024
MEAN_LOAD_TTL_S: t.Final = 0.5
# Engines sampled before falling back to a scan of all.
SAMPLE_SIZE: t.Final = 8


@attrs.define
class BackendState:
    """This entry's view of one backend server.

    :param own_requests: requests of this entry that run there.
    :param running: running requests of all entries, by its last load report.
    :param reported_at: monotonic seconds of that report.
    :param own_at_report: requests of this entry at the time of the report.
    :param failures: consecutive failures.
    :param backoff_until: monotonic seconds until which it gets no requests
        after a failure.
    :param listed: whether the platform's list contains it.
    :param draining_until: monotonic seconds until which it gets no requests
        after it announced its shutdown.
    :param poison_candidates: number of running requests that may be poison
        requests.
    :param gaps: estimate of its inter-token latency.
    """

    server: ports.BackendServer
    own_requests: int = 0
    running: int = 0
    reported_at: float = -1e9
    own_at_report: int = 0
    failures: int = 0
    backoff_until: float = 0.0
    listed: bool = True
    draining_until: float = 0.0
    poison_candidates: int = 0
    gaps: _recovery.GapEstimate = attrs.field(factory=_recovery.GapEstimate)

    def load(self, now: float, mean_other_load: float = 0.0) -> float:
        """Return the estimated number of running requests.

        This entry's requests are counted exactly. Those of other entries
        come from the last report and decay towards the mean with its age;
        otherwise all entries would send to an engine that was idle once.

        :param mean_other_load: mean of other entries' requests per engine.
        """
        others = max(0, self.running - self.own_at_report)
        age = max(0.0, now - self.reported_at)
        report_weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
        return (
            self.own_requests
            + mean_other_load
            + (others - mean_other_load) * report_weight
        )

    def available(self, now: float) -> bool:
        """Whether the server may get new requests."""
        return (
            self.listed
            and not self.server.leaving
            and now >= self.backoff_until
            and now >= self.draining_until
        )

    def report(self, running: int, now: float) -> None:
        """Record a load report."""
        self.running = running
        self.reported_at = now
        self.own_at_report = self.own_requests

    def record_failure(self, now: float) -> None:
        """Record a failure and back off exponentially.

        Requests that fail during a back-off had been sent before it, and
        share the cause of the failure that began it.
        """
        if now < self.backoff_until:
            return
        self.failures += 1
        backoff = INITIAL_BACKOFF_S * 2 ** (self.failures - 1)
        self.backoff_until = now + min(MAX_BACKOFF_S, backoff)

    def record_success(self) -> None:
        """Record a success and reset the backoff."""
        self.failures = 0
        self.backoff_until = 0.0


@attrs.frozen
class Choice:
    """A routing decision with its candidates and reason for the log."""

    state: BackendState | None
    candidates: list[str]
    reason: str

    @property
    def chosen(self) -> str:
        """Name of the chosen server, or ``''`` if there is none."""
        return self.state.server.name if self.state else ''


class Router:
    """Chooses backend servers by availability, load and prefix affinity.

    :param rng: random source for sampling engines.
    :ivar engines: encoded names and states of all engines.
    :ivar rankings: engines by prompt bucket, until engines come or go.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.states: dict[str, BackendState] = {}
        self.engines: list[tuple[bytes, BackendState]] = []
        self.rankings: dict[str, list[BackendState]] = {}
        self.bucket_counts: dict[str, float] = {}
        self.count_total = 0.0
        self.mean_load = 0.0
        self.mean_other_load = 0.0
        self.means_valid_until = 0.0

    def update(self, servers: list[ports.BackendServer]) -> None:
        """Update the servers from the platform's list."""
        listed = {server.name: server for server in servers}
        for name, state in list(self.states.items()):
            if name not in listed:
                state.listed = False
                if state.own_requests == 0:
                    del self.states[name]
        for name, server in listed.items():
            state = self.states.get(name)
            if state is None or state.server.address != server.address:
                self.states[name] = BackendState(server)
                continue
            state.server = server
            state.listed = True
        engines = [
            (state.server.name.encode(), state)
            for state in self.states.values()
            if state.server.kind == 'engine'
        ]
        if [id(state) for _, state in engines] != [
            id(state) for _, state in self.engines
        ]:
            self.rankings = {}
        self.engines = engines

    def mark_leaving(self, name: str, now: float) -> None:
        """Stop routing to a server before the platform's list shows it.

        Limited to the discovery lag, so that a server restarted under the
        same name gets requests again.
        """
        state = self.states.get(name)
        if state is not None:
            state.draining_until = now + DISCOVERY_LAG_S

    def choose_engine(
        self,
        model: str,
        affinity: str,
        now: float,
        *,
        version: str = '',
        avoid: cabc.Collection[str] = (),
        may_be_poison: bool = False,
    ) -> Choice:
        """Choose an engine for a generation.

        :param affinity: prompt prefix for prefix-cache affinity.
        :param version: model version required to continue an answer, or
            ``''`` for any.
        :param avoid: engines that already failed this request.
        :param may_be_poison: whether an engine crashed while running this
            request. It is then kept apart from other such requests if
            possible, so that another crash identifies the poison request.
        """

        def eligible(state: BackendState) -> bool:
            served_version = state.server.models.get(model)
            return (
                state.available(now)
                and served_version is not None
                and (version in ('', served_version))
            )

        filters: list[cabc.Callable[[BackendState], bool]] = []
        if may_be_poison:
            filters.append(
                lambda s: eligible(s)
                and s.server.name not in avoid
                and s.poison_candidates == 0
            )
        filters.append(lambda s: eligible(s) and s.server.name not in avoid)
        filters.append(eligible)
        ranking, candidate_count = self._rank_engines(model, affinity)
        for allowed in filters:
            choice = self._choose_of_two(
                ranking, candidate_count, allowed, now
            )
            if choice is not None:
                return choice
        return Choice(None, [], 'no engine of that model and version')

    def choose_service(
        self,
        service: str,
        now: float,
        avoid: cabc.Collection[str] = (),
    ) -> Choice:
        """Choose the least loaded server of a plain service."""
        eligible = self._available_servers(service, now)
        if not eligible:
            return Choice(None, [], 'no server of that service')
        preferred = [
            s for s in eligible if s.server.name not in avoid
        ] or eligible
        best = min(preferred, key=lambda s: (s.load(now), s.server.name))
        return Choice(best, [s.server.name for s in preferred], 'least load')

    def has_kind(self, kind: str) -> bool:
        """Whether any server of that kind is known."""
        return any(s.server.kind == kind for s in self.states.values())

    def _available_servers(self, kind: str, now: float) -> list[BackendState]:
        return [
            state
            for state in self.states.values()
            if state.server.kind == kind and state.available(now)
        ]

    def _rank_engines(
        self, model: str, affinity: str
    ) -> tuple[list[BackendState], int]:
        """Return the engines ranked for a prompt, and how many to consider.

        The ranking is cached per prompt bucket, because ranking all engines
        for each request is expensive. The number to consider grows with the
        bucket's share of requests, so that a common prefix doesn't overload
        a few engines.
        """
        bucket = xxhash.xxh3_64_intdigest(affinity.encode()) % PROMPT_BUCKETS
        key = f'{model}\0{bucket}'
        ranking = self.rankings.get(key)
        if ranking is None:
            ranking = _rendezvous.rendezvous_ranking(key, self.engines)
            self.rankings[key] = ranking
        share = self._update_bucket_share(key)
        return ranking, MIN_CANDIDATES + math.ceil(share * len(ranking))

    def _update_bucket_share(self, key: str) -> float:
        """Count a request and return its bucket's recent share."""
        self.bucket_counts[key] = self.bucket_counts.get(key, 0.0) + 1.0
        self.count_total += 1.0
        if self.count_total > MAX_COUNT_TOTAL:
            self.bucket_counts = {
                k: n / 2 for k, n in self.bucket_counts.items() if n > 1
            }
            self.count_total = sum(self.bucket_counts.values())
        # Exclude this request, so that a new bucket has no share.
        previous = self.bucket_counts.get(key, 1.0) - 1.0
        return max(0.0, previous) / max(self.count_total, MIN_COUNT_TOTAL)

    def _choose_of_two(
        self,
        ranking: list[BackendState],
        candidate_count: int,
        allowed: cabc.Callable[[BackendState], bool],
        now: float,
    ) -> Choice | None:
        """Choose the less loaded of two random engines for the prompt.

        Power of two choices (Mitzenmacher, 2001): entries that share stale
        load reports would otherwise all choose the same engine. If both
        engines exceed the affinity load limit, two of all engines are drawn.
        """
        self._refresh_means(now)
        drawn = self._draw_pair(ranking[:candidate_count], allowed)
        reason = 'prefix'
        if not drawn or self._least_loaded(drawn, now)[
            1
        ] > self._affinity_limit(drawn[0]):
            drawn = self._draw_pair(ranking, allowed) or drawn
            reason = 'load'
        if not drawn:
            return None
        best, _ = self._least_loaded(drawn, now)
        return Choice(best, [s.server.name for s in drawn], reason)

    def _draw_pair(
        self,
        ranking: list[BackendState],
        allowed: cabc.Callable[[BackendState], bool],
    ) -> list[BackendState]:
        """Draw up to two allowed engines, usually without a full scan."""
        sampled = self.rng.sample(ranking, min(SAMPLE_SIZE, len(ranking)))
        drawn = list(itertools.islice(filter(allowed, sampled), 2))
        if drawn or len(ranking) <= SAMPLE_SIZE:
            return drawn
        eligible = list(filter(allowed, ranking))
        return self.rng.sample(eligible, min(2, len(eligible)))

    def _least_loaded(
        self, eligible: list[BackendState], now: float
    ) -> tuple[BackendState, float]:
        loads = [(s.load(now, self.mean_other_load), s) for s in eligible]
        load, state = min(loads, key=lambda pair: pair[0])
        return state, load

    def _affinity_limit(self, state: BackendState) -> float:
        """Return the load up to which prefix affinity is kept."""
        ceiling = min(
            MAX_LOAD_FACTOR * self.mean_load,
            FULL_SLOTS_FRACTION * state.server.slots,
        )
        return max(MIN_LOAD_FACTOR * self.mean_load, ceiling, 1.0)

    def _refresh_means(self, now: float) -> None:
        """Recompute the mean loads of available engines when outdated."""
        if now < self.means_valid_until:
            return
        eligible = [state for _, state in self.engines if state.available(now)]
        others = [
            state.running - state.own_at_report
            if state.running > state.own_at_report
            else 0
            for state in eligible
        ]
        mean = sum(others) / max(1, len(eligible))
        # As in `BackendState.load`, without a call for each engine.
        ages = [now - state.reported_at for state in eligible]
        loads = [
            state.own_requests
            + mean
            + (other - mean)
            * 0.5 ** ((age if age > 0 else 0.0) / REPORT_HALF_LIFE_S)
            for state, other, age in zip(eligible, others, ages, strict=True)
        ]
        self.mean_other_load = mean
        self.mean_load = sum(loads) / max(1, len(eligible))
        self.means_valid_until = now + MEAN_LOAD_TTL_S
