"""Whether an engine that says nothing is dead, busy, or not to blame."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold import calls

# Engines answer a report within milliseconds, however busy they are.
PROBE_TIMEOUT_S: t.Final = 0.18
POLL_STEP_S: t.Final = 0.03
POLL_STEPS: t.Final = round(PROBE_TIMEOUT_S / POLL_STEP_S)
# On a lossy link the answer to a single question is often late.
SECOND_PROBE_STEP: t.Final = POLL_STEPS // 3
MAX_PROBE_S: t.Final = 2.0


async def is_alive(client: calls.BackendClient, address: str) -> bool:
    """Return whether an engine answers one of two questions.

    Counts steps instead of time. A process that is short of processor time
    reads its sockets late; by the clock it would take living engines for
    dead, and their streams would be read again elsewhere.
    """
    probes: set[asyncio.Future[bool]] = set()
    try:
        for step in range(POLL_STEPS):
            if step in (0, SECOND_PROBE_STEP):
                probe = client.alive(address, MAX_PROBE_S)
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


async def _wait_one_step(
    probes: set['asyncio.Future[bool]'],
) -> set['asyncio.Future[bool]']:
    """Return the answers that come within one step."""
    if not probes:
        await asyncio.sleep(POLL_STEP_S)
        return set()
    finished, _ = await asyncio.wait(
        probes, timeout=POLL_STEP_S, return_when=asyncio.FIRST_COMPLETED
    )
    return finished


class SilenceTimer:
    """How long an engine has sent nothing while this process could read.

    A machine that stood still wakes with all its timers due, and with its
    engines' events unread in its sockets. Counted by the clock, the time it
    stood still would look like its engines' silence, and all of them would
    be left at once.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.seconds = 0.0

    @contextlib.contextmanager
    def measure(self, max_s: float) -> cabc.Iterator[None]:
        """Count the time that a wait takes, up to its timeout."""
        started = self.clock()
        try:
            yield
        finally:
            self.seconds += min(self.clock() - started, max_s)
