"""Detects dead engines without mistaking busy ones or local delays."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold import calls
from bulrushhold import decisions

# Busy engines respond to probes as fast as idle ones.
PROBE_TIMEOUT_S: t.Final = 0.18
POLL_STEP_S: t.Final = 0.03
POLL_STEPS: t.Final = round(PROBE_TIMEOUT_S / POLL_STEP_S)
# Covers the loss of a packet of the first probe.
SECOND_PROBE_STEP: t.Final = POLL_STEPS // 3
MAX_PROBE_S: t.Final = 2.0


async def is_alive(
    client: calls.BackendClient, address: str, instance: str = ''
) -> bool:
    """Return whether an engine responds to one of two probes.

    Counts event loop steps instead of time: a process that is short of CPU
    reads its sockets late, and a timeout would report live engines as dead.
    """
    probes: set[asyncio.Future[bool]] = set()
    try:
        for step in range(POLL_STEPS):
            if step in (0, SECOND_PROBE_STEP):
                probe = client.probe(address, MAX_PROBE_S, instance)
                probes.add(asyncio.ensure_future(probe))
            finished = await _wait_one_step(probes)
            if any(task.result() for task in finished):
                return True
            probes -= finished
            if not probes and step >= SECOND_PROBE_STEP:
                return False
    finally:
        for probe in probes:
            probe.cancel()
    return False


class LivenessProbes:
    """Probes each engine once for all streams that ask at the same time."""

    def __init__(self, client: calls.BackendClient) -> None:
        self.client = client
        self.pending: dict[str, asyncio.Future[bool]] = {}
        self.pending_end_checks: dict[str, asyncio.Future[bool]] = {}

    async def has_ended(self, engine: decisions.BackendServer) -> bool:
        """Return whether an engine's process is known to have ended.

        See :meth:`calls.BackendClient.has_ended`.
        """
        check = self.pending_end_checks.get(engine.ident)
        if check is None:
            check = asyncio.ensure_future(
                self.client.has_ended(
                    engine.address, PROBE_TIMEOUT_S, engine.ident
                )
            )
            self.pending_end_checks[engine.ident] = check
            check.add_done_callback(
                lambda _: self.pending_end_checks.pop(engine.ident)
            )
        return await asyncio.shield(check)

    async def is_alive(self, engine: decisions.BackendServer) -> bool:
        """Return whether an engine responds, and not another at its address.

        See :func:`is_alive`.
        """
        probe = self.pending.get(engine.ident)
        if probe is None:
            probe = asyncio.ensure_future(
                is_alive(self.client, engine.address, engine.ident)
            )
            self.pending[engine.ident] = probe
            probe.add_done_callback(lambda _: self.pending.pop(engine.ident))
        return await asyncio.shield(probe)

    async def find_alive(
        self,
        current: decisions.BackendServer,
        candidates: list[decisions.BackendServer],
    ) -> decisions.BackendServer | None:
        """Return an engine that responds, if any.

        :param current: the engine of the stream. It is returned if it
            responds by then: a silence may end for all engines just after it
            was probed.
        :param candidates: the preferred one first; it is waited for a little
            longer.
        """
        probes = [
            asyncio.ensure_future(self.is_alive(engine))
            for engine in (*candidates, current)
        ]
        try:
            for task in asyncio.as_completed(probes):
                if await task:
                    break
            await asyncio.wait({probes[0]}, timeout=POLL_STEP_S)
            alive = [
                engine
                for engine, probe in zip(
                    (*candidates, current), probes, strict=True
                )
                if probe.done() and probe.result()
            ]
        finally:
            for probe in probes:
                probe.cancel()
        if current in alive:
            return current
        return alive[0] if alive else None


async def _wait_one_step(
    probes: set['asyncio.Future[bool]'],
) -> set['asyncio.Future[bool]']:
    """Wait for one step and return the probes finished by then."""
    if not probes:
        await asyncio.sleep(POLL_STEP_S)
        return set()
    finished, _ = await asyncio.wait(
        probes, timeout=POLL_STEP_S, return_when=asyncio.FIRST_COMPLETED
    )
    return finished


class SilenceTimer:
    """Measures how long an engine has sent nothing while this process ran.

    A suspended machine resumes with all timers expired and the engines'
    events still unread. Each wait therefore counts for no more than its
    timeout, or a suspension would look like a stall of all engines.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.seconds = 0.0

    def reset(self) -> None:
        """Start anew."""
        self.seconds = 0.0

    @contextlib.contextmanager
    def measure(self, max_s: float) -> cabc.Iterator[None]:
        """Add the duration of a wait, capped at its timeout."""
        started = self.clock()
        try:
            yield
        finally:
            self.seconds += min(self.clock() - started, max_s)
