"""Simulates a rollout: entries, engines of two versions and the leader.

Uses the production decisions in emulated time, with delayed news and reports.
"""

import collections
import enum
import heapq
import itertools
import random
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import messages

SERVICE: t.Final = 'service'
OLD, NEW = 'v1', 'v2'
TICK_S: t.Final = 0.1
NEWS_DELAY_S: t.Final = 0.3
REPORT_DELAY_S: t.Final = 0.2


class Onset(enum.StrEnum):
    """When and where a bad version shows."""

    NEVER = 'never'
    AT_ONCE = 'at once'
    LATER = 'later'
    UNDER_LOAD = 'under load'
    ONE_ROUTE = 'one route'


@attrs.frozen
class RolloutScenario:
    """Conditions of a rollout.

    :param rates_per_s: requests per second by route.
    :param failure_shares: failures of the old version by route.
    :param bad_failure_share: further failures of a bad version.
    :param slowdown: factor of the latency of a bad version.
    :param cut_entries: share of the entries that lose control.
    :param cut_at_s: when they do.
    :param leader_change_s: time at which another leader takes over, after a
        pause of ``leader_pause_s``.
    :param faulty_engine: one engine of the new version fails half of its
        requests, although its version is good.
    """

    duration_s: float = 20.0
    rates_per_s: tuple[float, ...] = (110.0, 26.0)
    failure_shares: tuple[float, ...] = (0.004, 0.14)
    latency_s: float = 0.05
    engines: int = 6
    entries: int = 30
    onset: Onset = Onset.NEVER
    bad_failure_share: float = 0.0
    slowdown: float = 1.0
    cut_entries: float = 0.0
    cut_at_s: float = 5.0
    leader_change_s: float | None = None
    leader_pause_s: float = 1.5
    faulty_engine: bool = False
    limits: decisions.ExposureLimits = decisions.DEFAULT_EXPOSURE
    rollback_s: float = 5.0


@attrs.define
class RolloutResult:
    """What became of a rollout.

    :param late_exposures: requests sent to the bad version longer than
        ``rollback_s`` after its 50th bad answer.
    """

    state: messages.RolloutState = messages.RolloutState.RUNNING
    ended_at: float = 0.0
    received: int = 0
    exposed: int = 0
    bad_answers: int = 0
    fiftieth_bad_at: float | None = None
    late_exposures: int = 0

    def excess_exposure(self, limits: decisions.ExposureLimits) -> float:
        """Return the requests above what a bad version may get."""
        return self.exposed - limits.share * self.received - limits.slack


class RolloutSimulation:
    """One rollout from its order until its time limit."""

    def __init__(self, scenario: RolloutScenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.result = RolloutResult()
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now = 0.0
        self.engines = [
            decisions.BackendServer(
                f'{version}-{number}',
                SERVICE,
                '',
                'dc',
                8,
                version=version,
            )
            for version in (OLD, NEW)
            for number in range(scenario.engines)
        ]
        self.splits = [
            decisions.VersionSplit(random.Random(self.rng.random()))
            for _ in range(scenario.entries)
        ]
        self.cut = set(
            self.rng.sample(
                range(scenario.entries),
                int(scenario.cut_entries * scenario.entries),
            )
        )
        self.reports: dict[int, messages.RolloutEvidence] = {}
        self.rollout = messages.Rollout(SERVICE, 1, NEW, scenario.duration_s)
        self.driver = decisions.RolloutDriver(self.rollout, scenario.limits)
        self.leader_changed = False
        self.recent: dict[str, collections.deque[float]] = {
            engine.ident: collections.deque() for engine in self.engines
        }

    def run(self) -> RolloutResult:
        """Run until shortly after the time limit."""
        for route, rate in enumerate(self.scenario.rates_per_s):
            self._schedule_arrival(route, rate)
        self._at(0.0, self._drive)
        end = self.scenario.duration_s + 2.0
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result

    def _at(self, delay_s: float, action: t.Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.sequence), action)
        )

    # Leader

    def _drive(self) -> None:
        self._at(TICK_S, self._drive)
        change_s = self.scenario.leader_change_s
        if change_s is not None and self.now >= change_s:
            paused = self.now < change_s + self.scenario.leader_pause_s
            if paused:
                return
            if not self.leader_changed:
                self.leader_changed = True
                self.driver = decisions.RolloutDriver(
                    self.rollout, self.scenario.limits
                )
        state = self.result.state
        if state is not messages.RolloutState.RUNNING:
            self._publish(messages.RolloutPlan(SERVICE, 1, NEW, state))
            return
        total = messages.RolloutEvidence(1)
        for report in self.reports.values():
            total = decisions.add_evidence(total, report)
        count = self.scenario.engines
        step = self.driver.step(self.now, total, count, count)
        if step.state is not messages.RolloutState.RUNNING:
            self.result.state = step.state
            self.result.ended_at = self.now
        self._publish(
            messages.RolloutPlan(SERVICE, 1, NEW, step.state, step.share)
        )

    def _publish(self, plan: messages.RolloutPlan) -> None:
        def deliver() -> None:
            for number, split in enumerate(self.splits):
                if self._connected(number):
                    split.apply_plans([plan])
                    split.confirm(self.now)

        self._at(NEWS_DELAY_S, deliver)

    def _connected(self, entry: int) -> bool:
        return entry not in self.cut or self.now < self.scenario.cut_at_s

    # Requests

    def _schedule_arrival(self, route: int, rate: float) -> None:
        def arrive() -> None:
            self._schedule_arrival(route, rate)
            if self.now < self.scenario.duration_s:
                self._serve(route)

        self._at(self.rng.expovariate(rate), arrive)

    def _serve(self, route: int) -> None:
        entry = self.rng.randrange(self.scenario.entries)
        split = self.splits[entry]
        self.result.received += 1
        canary = split.takes_canary(SERVICE, self.now)
        usable = split.usable(SERVICE, self.engines, self.now, canary=canary)
        if not split.plans:
            usable = [b for b in usable if b.version == OLD]
        engine = self.rng.choice(usable)
        split.count_exposed(engine)
        bad = engine.version == NEW and self._is_bad(engine, route)
        if engine.version == NEW:
            self._count_exposure()
        self._finish_later(entry, engine, route, bad=bad)

    def _count_exposure(self) -> None:
        self.result.exposed += 1
        at = self.result.fiftieth_bad_at
        if at is not None and self.now > at + self.scenario.rollback_s:
            self.result.late_exposures += 1

    def _is_bad(self, engine: decisions.BackendServer, route: int) -> bool:
        scenario = self.scenario
        recent = self.recent[engine.ident]
        recent.append(self.now)
        while recent[0] < self.now - 2.0:
            recent.popleft()
        match scenario.onset:
            case Onset.AT_ONCE:
                return True
            case Onset.LATER:
                return self.now > 0.4 * scenario.duration_s
            case Onset.ONE_ROUTE:
                return route == 0
            case Onset.UNDER_LOAD:
                rate = sum(scenario.rates_per_s) / scenario.engines
                return len(recent) / 2.0 > 0.15 * rate
        return False

    def _finish_later(
        self,
        entry: int,
        engine: decisions.BackendServer,
        route: int,
        *,
        bad: bool,
    ) -> None:
        scenario = self.scenario
        failure_share = scenario.failure_shares[route]
        latency_s = scenario.latency_s * self.rng.lognormvariate(0.0, 0.4)
        if bad:
            failure_share += scenario.bad_failure_share
            latency_s *= scenario.slowdown
        if scenario.faulty_engine and engine.ident == f'{NEW}-0':
            failure_share = 0.5
        failed = self.rng.random() < failure_share

        def finish() -> None:
            if bad and (failed or scenario.slowdown > 1):
                self._count_bad_answer()
            self.splits[entry].record(
                engine, f'route-{route}', failed=failed, latency_s=latency_s
            )
            self._report(entry)

        self._at(latency_s, finish)

    def _count_bad_answer(self) -> None:
        self.result.bad_answers += 1
        if self.result.bad_answers == 50:
            self.result.fiftieth_bad_at = self.now

    def _report(self, entry: int) -> None:
        evidence = self.splits[entry].evidence().get(SERVICE)
        if evidence is None or not self._connected(entry):
            return

        def deliver() -> None:
            self.reports[entry] = evidence

        self._at(REPORT_DELAY_S, deliver)
