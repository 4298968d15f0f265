"""Losses of all processes at once, in the soak."""

import asyncio
import signal

MAX_DOWN_S = 1.0


async def lose_all(rng, soak):
    """Kill all processes at once in half of the runs, and start them again."""
    if rng.random() < 0.5:
        return
    await asyncio.sleep(soak.seconds * rng.uniform(0.2, 0.7))
    soak._record_fault('kill', 'all')
    programs = soak.system.programs
    for program in programs:
        soak.system.signal(program, signal.SIGKILL)
    for program in programs:
        await soak.system.wait_for_exit(program)
    await asyncio.sleep(MAX_DOWN_S * rng.random())
    for program in programs:
        soak._restart(program)
