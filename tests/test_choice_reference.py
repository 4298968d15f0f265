"""Choices among engines compared with plain versions of the same rules.

The pool caches what rarely changes and skips engines that can't be the best.
Guards against a cache that isn't invalidated, and against an engine that is
skipped although it would have been chosen.
"""

import heapq
import math
import random

import pytest
import xxhash

from bulrushhold import decisions
from bulrushhold import messages

SERVICE = 'engines'
NO_LOAD = messages.EngineLoad(0, 0)
STATES = list(messages.RolloutState)


# Plain versions of the rules


def plain_left_alone(pool, backend, now):
    """Whether it failed and never answered, as others of its service did."""
    verification = pool.verification
    trial = verification.failed.get(backend.ident)
    return (
        trial is not None
        and trial.until > now
        and any(
            b.ident in verification.verified
            and not b.leaving
            and b.ident not in pool.demands.leaving.until
            and b.ident not in pool.replaced_idents
            and b.ejected_until <= now
            for b in pool.services[backend.service]
        )
    )


def plain_usable(pool, now, canary=False, version=None):
    versions = pool.versions
    plan = versions.plans.get(SERVICE)
    present = [
        b
        for b in pool.services.get(SERVICE, ())
        if not b.leaving
        and b.ident not in pool.demands.leaving.until
        and b.ident not in pool.replaced_idents
        and not plain_left_alone(pool, b, now)
    ]
    lease = now - versions.confirmed_at <= 1.0
    running, succeeded = (
        plan is not None and plan.state is state
        for state in (
            messages.RolloutState.RUNNING,
            messages.RolloutState.SUCCEEDED,
        )
    )
    if version is not None:
        is_target = plan is not None and version == plan.target
        if is_target and not (succeeded or (running and lease)):
            return []
        return [b for b in present if b.version == version]
    if plan is None:
        withheld = versions.withheld_versions.get(SERVICE, ())
        return [b for b in present if b.version not in withheld]
    targets = [b for b in present if b.version == plan.target]
    others = [b for b in present if b.version != plan.target]
    if succeeded:
        return targets or others
    if canary and running and lease:
        count = max(2, math.ceil(plan.share * len(targets)))
        digest = xxhash.xxh3_64_intdigest
        targets.sort(
            key=lambda b: digest(f'{plan.target}\0{b.ident}'.encode()),
            reverse=True,
        )
        return targets[:count]
    return others


def plain_allowing(pool, servers, now):
    limits, ends_at = (
        pool.demands.limits.servers,
        pool.demands.backoffs.ends_at,
    )
    return [
        b
        for b in servers
        if not (b.ident in limits and limits[b.ident].held_until > now)
        and not ends_at.get(b.ident, 0.0) > now
    ]


def plain_slowness(pool, now, token_s=None):
    """Return the slowness by engine, computed at the time of its cache."""
    if SERVICE not in pool.server_speeds.services:
        return {}
    slowness = pool.server_speeds.slowness
    cached_at = slowness.cached_at
    at = cached_at if 0 <= now - cached_at < 0.05 else now

    def value(ident, now, pending):
        expected, observed = 0.0, 0.0
        if ident in slowness.local:
            local = slowness.local[ident].now(now)
            expected, observed = local.expected_s, local.observed_s
        if pending is not None:
            expected += pending.expected_s
            observed += pending.observed_s
        prior, weight = 1.0, 1.5
        if ident in slowness.remote:
            age = max(0.0, now - slowness.confirmed_at)
            prior = 1 + (slowness.remote[ident] - 1) * 0.5 ** (age / 20.0)
            weight = 10.0
        ratio = (observed + prior * weight) / (expected + weight)
        return min(8.0, max(0.2, ratio))

    idents = slowness.local.keys() | slowness.remote.keys()
    values = {ident: value(ident, at, None) for ident in idents}
    late = {}
    for ident, sample in pool.speeds.late_reads(SERVICE, now, token_s):
        if ident not in late or sample.observed_s > late[ident].observed_s:
            late[ident] = sample
    for ident, sample in late.items():
        values[ident] = max(value(ident, now, sample), values.get(ident, 0.0))
    return values


def plain_health_penalty(pool, backend, now):
    prompts = 2.5 if now - backend.lost_at < 6.0 else 0.0
    location = (backend.service, backend.data_centre)
    if pool.data_centre_failures.is_failing(location, now):
        prompts += 3.0
    return prompts


def plain_has_room(pool, backend, now, tokens):
    capacity = pool.capacity.get(SERVICE, 0)
    fresh = now - pool.last_report_at < 2.0
    others = backend.remote_load.memory if fresh else 0
    return not capacity or backend.memory + others + tokens <= capacity * 0.85


def plain_ranks(pool, rng, segment, now, tried, version, count=5):
    candidates = [
        b
        for b in plain_allowing(
            pool, plain_usable(pool, now, version=version), now
        )
        if b.ident not in tried
    ]
    local = [
        b
        for b in candidates
        if b.data_centre == pool.data_centre
        and b.ejected_until <= now
        and not plain_health_penalty(pool, b, now)
    ]
    if len(local) >= 3:
        candidates, count = local, 3
    segment = segment or str(rng.random())
    first = heapq.nlargest(
        count,
        candidates,
        key=lambda b: xxhash.xxh64_intdigest(f'{segment}/{b.ident}'.encode()),
    )
    return {b.ident: rank for rank, b in enumerate(first)}


def plain_choice(
    pool,
    now,
    *,
    tokens,
    segment,
    tried,
    avoid_data_centre,
    canary,
    version,
    objective,
):
    """Return the chosen engine, and the one that would be chosen instead.

    The latter is ``''`` unless engines are chosen by pace.
    """
    rng = random.Random()
    rng.setstate(pool.rng.getstate())
    ranks = plain_ranks(pool, rng, segment, now, tried, version)
    cached = pool.cached_prompts.engine(segment, now)
    slowness = plain_slowness(pool, now)
    paced = SERVICE in pool.server_speeds.services
    fresh = now - pool.last_report_at < 2.0
    stale = (
        now - pool.last_report_at > 0.5
        or bool(pool.stale_data_centres)
        or any(now - b.lost_at < 0.5 for b in pool.services.get(SERVICE, ()))
    )

    def cost(b, mean_jitter):
        others = b.remote_load if fresh else NO_LOAD
        slow = slowness.get(b.ident, 1.0)
        unread = b.reading + others.reading
        unread += 0 if b.ident == cached else tokens
        prompts = unread / max(1, tokens) * slow
        prompts += (b.inflight + others.running) * (
            0.08 if stale else 0.3
        ) * slow + ranks.get(b.ident, 5) * 0.08
        prompts *= 1 + 6.0 * b.failures_now(now)
        prompts += 3.0 * (b.data_centre == avoid_data_centre)
        prompts += 0.5 * (pool.data_centre not in ('', b.data_centre))
        prompts += plain_health_penalty(pool, b, now)
        if paced and objective is not None:
            token_s = pool.speeds.token_s(SERVICE, objective, now)
            late_s = 1.3 * (unread * slow) * token_s - objective.aim_s
            prompts += (
                3.0 * max(0.0, late_s) / (max(1, objective.tokens) * token_s)
            )
        prompts += 0.0 if plain_has_room(pool, b, now, tokens) else 4.0
        if mean_jitter:
            draw = xxhash.xxh64_intdigest(f'{b.ident}/{segment}'.encode())
            prompts += mean_jitter * -math.log1p(-draw / 2**64)
        return prompts

    def best_of(engines, mean_jitter=0.0):
        costs = [(cost(b, mean_jitter), b) for b in engines]
        if not paced:
            return min(costs, key=lambda c: c[0])[1], ''
        least = min(c[0] for c in costs)
        paces = pool.server_speeds.paces
        best = min(
            (c for c in costs if c[0] <= least + 0.3),
            key=lambda c: c[0] + 0.25 * (paces.pace(c[1].ident, now) - 1),
        )
        others = [c for c in costs if c is not best]
        if not others:
            return best[1], ''
        return best[1], min(others, key=lambda c: c[0])[1].ident

    usable = plain_usable(pool, now, canary, version)
    untried = [
        b for b in plain_allowing(pool, usable, now) if b.ident not in tried
    ]
    healthy = [b for b in untried if b.ejected_until <= now]
    if not healthy:
        first = min(untried, key=lambda b: b.ejected_until, default=None)
        return rng, first, None
    preferred = [b for b in healthy if b.ident in ranks or b.ident == cached]
    best, next_best = best_of(preferred or healthy)
    if (
        best.reading
        or best.remote_load.reading
        or slowness.get(best.ident, 1.0) > 1.1
        or not plain_has_room(pool, best, now, tokens)
    ):
        jitter = 0.8 if stale else 0.3 if paced else 0.1
        best, next_best = best_of(healthy, jitter)
    return rng, best, (best.ident, next_best) if paced else None


def plain_estimate(pool, now, *, objective, memory, excluding, version):
    tokens = objective.tokens
    token_s = pool.speeds.token_s(SERVICE, objective, now, excluding=excluding)
    slowness = plain_slowness(pool, now, token_s)
    fresh = now - pool.last_report_at < 2.0
    capacity = pool.capacity.get(SERVICE, 0)
    healthy = [
        b
        for b in plain_allowing(
            pool, plain_usable(pool, now, version=version), now
        )
        if b.ejected_until <= now
        and b.ident != excluding
        and not plain_health_penalty(pool, b, now)
    ]
    speed, reads = 0.0, []
    for b in healthy:
        slow = slowness.get(b.ident, 1.0)
        speed += 1 / slow
        others = b.remote_load if fresh else NO_LOAD
        if not capacity or b.memory + others.memory + memory <= capacity:
            reading = b.reading + others.reading + tokens
            reads.append((reading * token_s * slow, reading == tokens))
    ready = sum(read_s <= objective.aim_s for read_s, _ in reads)
    rate = pool._completions_per_s(SERVICE, now, tokens * token_s, memory)
    run_s = pool.speeds.run_s(SERVICE, now) or 0.0
    return decisions.CapacityEstimate(
        min((read_s for read_s, _ in reads), default=math.inf),
        any(
            read_s <= 0.7 * objective.aim_s or empty for read_s, empty in reads
        ),
        len(healthy),
        speed * rate,
        max(0.0, 0.5 * run_s - tokens * token_s),
        ready >= min(2, len(reads)) or 2 * len(reads) < len(healthy),
        ready,
    )


def plain_has_spare(pool, memory, now):
    usable = plain_usable(pool, now)
    idle = [
        b
        for b in plain_allowing(pool, usable, now)
        if (not b.slots or b.inflight + b.remote_load.running < b.slots)
        and not b.reading + b.remote_load.reading
        and b.ejected_until <= now
        and not plain_health_penalty(pool, b, now)
        and plain_has_room(pool, b, now, memory)
    ]
    needed = min(len(usable), max(2, math.ceil(len(usable) / 8)))
    is_current = now - pool.last_report_at < 2.0
    return is_current and bool(usable) and len(idle) >= needed


# Random states


class RandomPool:
    """A placement in which random events happen."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 10.0
        data_centre = self.rng.choice(('', 'dc0', 'dc1'))
        self.pool = decisions.Placement(random.Random(seed), data_centre)
        # Many engines of which few are idle make most use of bounds.
        self.size = self.rng.choice((1, 3, 8, 40, 120, 120, 120))
        self.busy = self.rng.choice((0.0, 0.5, 0.95, 1.0))
        self.paced = self.rng.random() < 0.7
        self.pool.capacity = self.rng.choice(({}, {SERVICE: 88_000}))
        self.versions = self.rng.choice((['v1'], ['v1', 'v2'], ['']))
        # With several locations that fail at once, there are few engines left.
        self.events = self.rng.sample(
            (
                self.lose,
                self.fail,
                self.succeed,
                self.hold,
                self.limit,
                self.leave,
                self.replace,
                self.relist,
                self.plan,
                self.retract,
            ),
            self.rng.randrange(10),
        )
        self.relist()
        self.report(complete=True)

    def one(self):
        backends = self.pool.backends
        return backends[self.rng.choice(list(backends))]

    def relist(self):
        idents = [
            f'i{n}'
            for n in range(self.size)
            if n in (0, 1, 2) or self.rng.random() < 0.9
        ]
        incarnation = self.rng.choice(('', 'b')) if self.size > 3 else ''
        self.pool.update(
            [
                messages.ListedBackend(
                    ident,
                    SERVICE,
                    f'10.0.0.{ident}{incarnation if n == 4 else ""}:80',
                    f'dc{n % 3}',
                    self.rng.choice((0, 2, 16)),
                    leaving=self.rng.random() < 0.05,
                    version=self.versions[n % 5 % len(self.versions)],
                )
                for n, ident in enumerate(idents)
            ]
        )

    def report(self, *, complete=False):
        idents = list(self.pool.backends)
        if not complete:
            idents = self.rng.sample(idents, math.ceil(len(idents) / 3))
        tokens = (0, 3000, 8000, 8000)
        loads = {
            ident: messages.EngineLoad(
                self.rng.choice(tokens)
                if self.rng.random() < self.busy
                else 0,
                self.rng.randrange(4),
                self.rng.choice((0, 20_000, 40_000, 70_000)),
            )
            for ident in idents
        }
        slowness = {i: self.rng.choice((0.1, 0.8, 1.0, 1.7)) for i in idents}
        summary = messages.LoadSummary(
            1,
            loads,
            [self.one().ident] if self.rng.random() < 0.05 else [],
            age_s=self.rng.choice((0.0, 0.0, 0.3)),
            since=0 if complete else 1,
            silent=['dc2'] if self.rng.random() < 0.1 else [],
            slowness=slowness if self.paced else {},
        )
        self.pool.apply_loads(summary, self.now)

    def lose(self):
        ident = self.one().ident
        self.pool.record_failure(ident, self.now, unreachable=True)

    def fail(self):
        ident = self.one().ident
        self.pool.record_failure(ident, self.now, unreachable=False)

    def succeed(self):
        self.pool.record_success(self.one().ident, self.now, 0.1)

    def hold(self):
        backoffs = self.pool.demands.backoffs
        backoffs.record(self.one().ident, self.rng.random(), self.now)

    def limit(self):
        limits, ident = self.pool.demands.limits, self.one().ident
        limits.record(ident, 2.0, self.now)
        until = self.now + self.rng.random()
        limits.hold(ident, until, until)

    def leave(self):
        leaving = self.pool.demands.leaving
        leaving.record(self.one().ident, self.now)
        if self.rng.random() < 0.5:
            # Some turn out not to have shut down.
            leaving.expire(self.now + 300 * self.rng.random())

    def replace(self):
        self.pool.mark_replaced(self.one().ident)

    def plan(self):
        plan = messages.RolloutPlan(
            SERVICE,
            self.rng.randrange(3),
            'v2',
            self.rng.choice(STATES),
            self.rng.choice((0.05, 0.3)),
        )
        self.pool.versions.apply_plans(self.rng.choice(([], [plan])))
        if self.rng.random() < 0.7:
            self.pool.versions.confirm(self.now)

    def retract(self):
        self.pool.retract_losses(SERVICE, self.now - self.rng.random())

    def read(self):
        """Start or end the reading of prompts, and state paces."""
        engine = self.one()
        self.pool.stream_started(engine, 8000)
        engine.memory += 8500
        read = self.pool.speeds.start_read(
            SERVICE, engine.ident, engine.reading, self.now
        )
        if self.rng.random() < 0.5:
            self.pool.prompt_read(engine, 8000)
            self.pool.cached_prompts.record_read('s1', engine.ident, self.now)
            objective = decisions.LatencyObjective(8000, 4.0, 0.7)
            self.pool.speeds.record_read(read, objective, self.now + 0.8)
            sample = messages.SpeedSample(4.0, self.rng.choice((1.0, 8.0)))
            speeds = self.pool.server_speeds
            speeds.record_read(SERVICE, engine.ident, sample, self.now)
        backends = list(self.pool.backends)
        count = int(self.rng.choice((0.1, 0.5, 0.97)) * len(backends))
        for ident in self.rng.sample(backends, count):
            if self.paced:
                pace = self.rng.choice((0.5, 1.0, 1.5, 2.5))
                self.pool.server_speeds.record_pace(
                    SERVICE, ident, pace, self.now
                )

    def advance(self):
        """Let some time pass in which something happens."""
        self.now += self.rng.choice((0.0, 0.001, 0.1, 0.4, 0.4, 2.5, 7.0))
        for _ in range(self.rng.randrange(4)):
            event = self.rng.choice([self.read, self.report, *self.events])
            event()


def draw_arguments(state):
    rng = state.rng
    objective = decisions.LatencyObjective(
        rng.choice((0, 500, 8000)), rng.choice((0.01, 1.5, 4.0)), 0.7
    )
    version = rng.choice((None, None, None, *state.versions))
    tried = {state.one().ident for _ in range(rng.choice((0, 0, 1, 6)))}
    choice = {
        'tokens': objective.tokens,
        'segment': rng.choice(('', 's1', f's{rng.random()}')),
        'tried': tried,
        'avoid_data_centre': rng.choice(('', 'dc1')),
        'canary': rng.random() < 0.3,
        'version': version,
        'objective': rng.choice((None, objective)),
    }
    estimate = {
        'objective': objective,
        'memory': rng.choice((0, 8300, 30_000)),
        'excluding': rng.choice(('', state.one().ident)),
        'version': version,
    }
    return choice, estimate


@pytest.mark.parametrize('seed', range(50))
def test_no_slowness_is_below_its_floor(seed):
    # A floor that is too high would exclude the best engine.
    rng = random.Random(seed)
    slowness = decisions.Placement(rng).server_speeds.slowness
    floors = {}
    now = 0.0
    for _ in range(200):
        now += rng.choice((0.0, 0.01, 1.0, 30.0))
        event, ident = rng.randrange(8), rng.choice('abc')
        sample = messages.SpeedSample(
            rng.choice((0.1, 1.0, 20.0)), rng.choice((0.1, 1.0, 20.0))
        )
        if event == 0:
            slowness.record(ident, sample, now)
        elif event == 1:
            values = {ident: rng.choice((0.1, 0.5, 1.0, 2.0, 9.0))}
            complete = rng.random() < 0.3
            slowness.apply_remote(values, now, complete=complete)
        elif event == 2:
            slowness.confirm(now)
        elif event == 3 and rng.random() < 0.2:
            slowness.retain({'a', 'b'})
        floors.update(slowness.take_changed_floors())
        late = [(ident, messages.SpeedSample(1.0, 1.5))] * (event == 4)
        current = slowness.current(now, late)
        for name in 'abc':
            floor = floors.get(name, 1.0)
            assert floor <= current.get(name, 1.0) * (1 + 1e-9)


@pytest.mark.parametrize('excluded_count', (0, 1, 20, 110, 119, 120))
def test_preferred_engines_are_the_first_by_their_digests(excluded_count):
    # Only digests above a bound are compared at first; here, too few of them
    # may be left.
    pool = decisions.Placement(random.Random(1))
    pool.update(
        [
            messages.ListedBackend(f'i{n}', SERVICE, f'10.0.0.{n}:80', 'dc', 1)
            for n in range(120)
        ]
    )
    for segment in map(str, range(30)):
        ranked = plain_ranks(
            pool, pool.rng, segment, 0.0, set(), None, count=120
        )
        tried = set(list(ranked)[:excluded_count])
        expected = plain_ranks(pool, pool.rng, segment, 0.0, tried, None)
        assert expected == pool._affinity_ranks(SERVICE, segment, 0.0, tried)


@pytest.mark.parametrize('block', range(10))
def test_choices_equal_those_of_the_plain_rules(block):
    for seed in range(25 * block, 25 * (block + 1)):
        state = RandomPool(seed)
        pool = state.pool
        for _ in range(25):
            state.advance()
            now = state.now
            choice, estimate = draw_arguments(state)
            canary, version = choice['canary'], choice['version']
            assert pool.usable(
                SERVICE, now, canary=canary, version=version
            ) == plain_usable(pool, now, canary, version)
            rng, engine, by_pace = plain_choice(pool, now, **choice)
            cached_at = pool.server_speeds.slowness.cached_at
            assert pool.choose_engine(SERVICE, now, **choice) is engine
            assert pool.rng.getstate() == rng.getstate()
            if SERVICE in pool.server_speeds.services:
                is_cached = 0 <= now - cached_at < 0.05
                assert pool.server_speeds.slowness.cached_at == (
                    cached_at if is_cached else now
                )
            noted = pool.engine_choice
            assert by_pace == (noted and (noted.engine, noted.next_best))
            if estimate['objective'].tokens:
                expected = plain_estimate(pool, now, **estimate)
                assert expected == pool.estimate_capacity(
                    SERVICE, now, **estimate
                )
            memory = estimate['memory']
            assert decisions.has_spare_engines(
                pool, SERVICE, memory, now
            ) == plain_has_spare(pool, memory, now)
