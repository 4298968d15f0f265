"""Workloads of the emulator: requests, their callers and their outcomes."""

import asyncio
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import forwarding
from bulrushhold import routes

SERVICE: t.Final = 'engines'


@attrs.frozen
class Workload:
    """Arrival rate, request sizes and latency objective of a workload.

    :param streams_per_s: mean arrival rate.
    :param duration_s: how long new streams arrive.
    :param prompt_tokens: mean prompt length.
    :param output_tokens: mean response length.
    :param relative_stddev: standard deviation of both lengths, relative to
        the mean.
    :param target_latency_s: the route's objective for the first event.
    :param max_gap_s: the route's limit for pauses between events.
    :param timeout_s: deadline of a request, retries included.
    """

    streams_per_s: float
    duration_s: float
    prompt_tokens: int = 8000
    output_tokens: int = 600
    relative_stddev: float = 0.3
    target_latency_s: float = 4.5
    max_gap_s: float = 0.7
    timeout_s: float = 25.0


@attrs.define
class Outcome:
    """Result of one caller's request.

    :param arrived_at: time of the first attempt.
    :param completed_at: time of the end of the response.
    :param first_event_s: from the first attempt to the first event.
    :param refused: the last attempt was refused without having run.
    """

    arrived_at: float
    completed_at: float = 0.0
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    completed: bool = False
    refused: bool = False

    def meets_objective(self, workload: Workload) -> bool:
        """Return whether the response is complete and within the objective."""
        return (
            self.completed
            and self.first_event_s is not None
            and self.first_event_s <= workload.target_latency_s
            and self.longest_pause_s <= workload.max_gap_s
        )


def emulated_now() -> float:
    """Return the emulated time in seconds."""
    return asyncio.get_running_loop().time()


class Caller(calls.CallerStream):
    """Receives a stream and records its timing."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self.headers_sent = False
        self.last_write_at: float | None = None

    @property
    def connected(self) -> bool:
        return True

    async def send_headers(
        self, status: int, headers: calls.Headers, framed: bool = True
    ) -> None:
        self.headers_sent = True

    async def write(self, data: bytes) -> None:
        now = emulated_now()
        outcome = self.outcome
        if outcome.first_event_s is None:
            outcome.first_event_s = now - outcome.arrived_at
        if self.last_write_at is not None:
            pause = now - self.last_write_at
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause)
        self.last_write_at = now

    async def end(self) -> None:
        self.outcome.completed = True
        self.outcome.completed_at = emulated_now()

    def abort(self) -> None:
        pass


def fingerprint(segment: str) -> str:
    """Return the fingerprint of the requests with a last segment."""
    return decisions.fingerprint('/a/', 'k', segment.encode())


def make_job(
    workload: Workload,
    ident: str,
    prompt: calls.Prompt,
    now: float,
    remaining_s: float,
) -> forwarding.Job:
    """Return a stream's job; its last segment identifies its content."""
    call = calls.Call(
        ident,
        'POST',
        '/a/',
        'h',
        'k',
        (),
        b'',
        remaining_s,
        None,
        prompt,
    )
    route = routes.Route(
        'r',
        'h',
        '/a/',
        routes.Kind.STREAM,
        [routes.Target(SERVICE, 1.0)],
        workload.timeout_s,
        workload.target_latency_s,
        max_attempts=5,
        resumable=True,
        gap_s=workload.max_gap_s,
    )
    segment = prompt.segments[-1]
    return forwarding.Job(
        call,
        route,
        SERVICE,
        'a',
        now + remaining_s,
        fingerprint(segment),
    )
