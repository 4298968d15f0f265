"""Sends SIGHUP to processes, also to those that start or shut down."""

import asyncio
import signal
import time

from tests.platform.soak import netfault

MEAN_INTERVAL_S = 0.3
# For the program's first line.
MIN_UP_S = 0.1


async def hang_up(rng, soak, deadline):
    """Send SIGHUP to random processes, none of which may exit for it."""
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
        program = rng.choice(soak.system.programs)
        if not _has_begun(program):
            continue
        soak._record_fault('hangup', program.name)
        soak.system.signal(program, signal.SIGHUP)


def _has_begun(program):
    """Return whether the interpreter is past the start of the program."""
    try:
        started = netfault.started_file(program.settings).stat()
    except FileNotFoundError:
        return False
    return time.time() - started.st_mtime > MIN_UP_S
