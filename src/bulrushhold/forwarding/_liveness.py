"""Detects dead engines without mistaking busy ones or local delays."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold import calls

# Busy engines respond to probes as fast as idle ones.
PROBE_TIMEOUT_S: t.Final = 0.18
POLL_STEP_S: t.Final = 0.03
POLL_STEPS: t.Final = round(PROBE_TIMEOUT_S / POLL_STEP_S)
# Covers the loss of a packet of the first probe.
SECOND_PROBE_STEP: t.Final = POLL_STEPS // 3
MAX_PROBE_S: t.Final = 2.0


async def is_alive(client: calls.BackendClient, address: str) -> bool:
    """Return whether an engine responds to one of two probes.

    Counts event loop steps instead of time: a process that is short of CPU
    reads its sockets late, and a timeout would report live engines as dead.
    """
    probes: set[asyncio.Future[bool]] = set()
    try:
        for step in range(POLL_STEPS):
            if step in (0, SECOND_PROBE_STEP):
                probe = client.probe(address, MAX_PROBE_S)
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

    async def is_alive(self, address: str) -> bool:
        """Return whether an engine responds; see :func:`is_alive`."""
        probe = self.pending.get(address)
        if probe is None:
            probe = asyncio.ensure_future(is_alive(self.client, address))
            self.pending[address] = probe
            probe.add_done_callback(lambda _: self.pending.pop(address))
        return await asyncio.shield(probe)

    async def first_alive(self, addresses: list[str]) -> str:
        """Return the first address that responds, or ``''``.

        :param addresses: the preferred one first; it is waited for a little
            longer.
        """
        probes = {
            asyncio.ensure_future(self.is_alive(address)): address
            for address in addresses
        }
        try:
            for task in asyncio.as_completed(probes):
                if await task:
                    break
            if not probes:
                return ''
            preferred = next(iter(probes))
            await asyncio.wait({preferred}, timeout=POLL_STEP_S)
            for probe, address in probes.items():
                if probe.done() and probe.result():
                    return address
            return ''
        finally:
            for probe in probes:
                probe.cancel()


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
