"""Plays streams against a scheduler in emulated time.

Engines read one prompt after the other. Reports of their load are late, and
callers that are refused return once.
"""

import collections
import heapq
import itertools
import math
import random

import attrs

from bulrushhold import decisions
from bulrushhold import messages

TOKEN_S = 1 / 8000
REPORT_S = 0.1
REPORT_AGE_S = 0.15
POLL_S = 0.2
ADVANCE_S = 0.02
RUN_S = 3.0
GRANTED = messages.SchedulingStatus.GRANTED
QUEUED = messages.SchedulingStatus.QUEUED
REFUSED = messages.SchedulingStatus.REFUSED


@attrs.define(eq=False)
class Caller:
    """One request and its outcome.

    :ivar refusals: times of refusals, and how long after asking.
    :ivar as_told: it returned after exactly Retry-After.
    """

    number: int
    arrived_at: float
    priority: int
    account: str
    tokens: int
    objective_s: float
    patience_s: float
    asked_at: float = 0.0
    asks: int = 0
    refusals: list = attrs.field(factory=list)
    as_told: bool = False
    first_event_at: float = math.inf

    @property
    def served(self):
        return self.first_event_at <= self.arrived_at + self.patience_s

    @property
    def on_time(self):
        return self.first_event_at <= self.arrived_at + self.objective_s


@attrs.define(eq=False)
class Engine:
    ident: str
    slowness: float = 1.0
    memory_limit: int = 0
    free_at: float = 0.0
    busy_s: float = 0.0
    prompts: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    max_memory: int = 0
    max_prompts: int = 0

    def place(self, caller, now):
        work_s = caller.tokens * TOKEN_S * self.slowness
        self.free_at = max(self.free_at, now) + work_s
        self.busy_s += work_s
        self.prompts.append((self.free_at, caller))
        self.running.append((self.free_at + RUN_S, caller.tokens))
        caller.first_event_at = self.free_at
        self.max_memory = max(self.max_memory, self.room(now).memory)
        self.max_prompts = max(self.max_prompts, len(self.prompts))

    def room(self, now):
        self.prompts = [p for p in self.prompts if p[0] > now]
        self.running = [r for r in self.running if r[0] > now]
        return decisions.EngineRoom(
            self.ident,
            sum(caller.tokens for _, caller in self.prompts),
            len(self.running),
            sum(tokens for _, tokens in self.running),
            0,
            self.memory_limit,
            self.slowness,
        )


class Load:
    """Runs callers against a scheduler; events are times and functions."""

    def __init__(self, engines, seed):
        self.engines = engines
        self.rng = random.Random(seed)
        self.scheduler = decisions.StreamScheduler(random.Random(seed + 1))
        self.callers = []
        self.tickets = {}
        self.events = []
        self.numbers = itertools.count()
        self.reports = collections.deque()

    def at(self, when, function, *arguments):
        event = (when, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def arrivals(self, rate, begin, end, choose):
        """Add Poisson arrivals; ``choose`` returns a caller's attributes."""
        now = begin
        while (now := now + self.rng.expovariate(rate)) < end:
            tokens = round(self.rng.uniform(6000, 10000))
            caller = Caller(
                len(self.callers), now, tokens=tokens, **choose(self.rng)
            )
            self.callers.append(caller)
            self.at(now, self.ask, caller)

    def run(self, until):
        self.at(0.0, self.report)
        self.at(0.0, self.poll)
        self.at(0.0, self.advance)
        while self.events and self.events[0][0] <= until:
            now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments, now)

    def report(self, now):
        rooms = [engine.room(now) for engine in self.engines]
        self.at(now + REPORT_AGE_S, self.update, rooms)
        self.at(now + REPORT_S, self.report)

    def update(self, rooms, now):
        alive = {engine.ident for engine in self.engines}
        rooms = [room for room in rooms if room.ident in alive]
        self.scheduler.update(rooms, TOKEN_S, now)

    def poll(self, now):
        for ticket in self.tickets:
            self.scheduler.poll(ticket, now)
        self.at(now + POLL_S, self.poll)

    def advance(self, now):
        for ticket, decision in self.scheduler.advance(now):
            self.decide(self.tickets.pop(ticket), decision, now)
        self.at(now + ADVANCE_S, self.advance)

    def lose(self, count, now):
        """Lose engines; the streams that they were reading ask again."""
        lost = self.engines[-count:]
        del self.engines[-count:]
        for engine in lost:
            engine.room(now)
            for _, caller in engine.prompts:
                caller.first_event_at = math.inf
                self.ask(caller, now)

    def ask(self, caller, now, excluded=()):
        caller.asks += 1
        caller.asked_at = now
        ticket = f'{caller.number}/{caller.asks}'
        elapsed_s = now - caller.arrived_at
        ask = messages.StreamAsk(
            's',
            'e',
            ticket,
            str(caller.number),
            caller.priority,
            caller.account,
            caller.tokens,
            caller.tokens,
            caller.objective_s - elapsed_s,
            caller.patience_s - elapsed_s,
            excluded=list(excluded),
        )
        decision = self.scheduler.ask(ask, now)
        if decision.status is QUEUED:
            self.tickets[ticket] = caller
        else:
            self.decide(caller, decision, now)

    def decide(self, caller, decision, now):
        if decision.status is GRANTED:
            engines = {e.ident: e for e in self.engines}
            if decision.engine in engines:
                engines[decision.engine].place(caller, now)
            else:
                self.ask(caller, now, [decision.engine])
            return
        caller.refusals.append((now, now - caller.asked_at))
        remaining_s = caller.patience_s - (now - caller.arrived_at)
        if len(caller.refusals) == 1:
            caller.as_told = decision.retry_after_s <= remaining_s / 3
            wait_s = min(decision.retry_after_s, remaining_s / 3)
            self.at(now + wait_s, self.ask, caller)


def share(values):
    values = list(values)
    return sum(values) / max(1, len(values))
