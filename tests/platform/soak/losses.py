"""Losses of all processes at once, in the soak."""

import asyncio
import signal

MAX_DOWN_S = 1.0
EXIT_CHECK_INTERVAL_S = 0.02


async def lose_all(rng, soak):
    """Kill all processes at once in half of the runs, and start them again."""
    if rng.random() < 0.5:
        return
    await asyncio.sleep(soak.seconds * rng.uniform(0.2, 0.7))
    soak._record_fault('kill', 'all')
    programs = soak.system.programs
    # Other faults may restart a program as soon as it has exited.
    processes = [program.process for program in programs]
    for program in programs:
        soak.system.signal(program, signal.SIGKILL)
    while any(process.poll() is None for process in processes):
        await asyncio.sleep(EXIT_CHECK_INTERVAL_S)
    await asyncio.sleep(MAX_DOWN_S * rng.random())
    for program in programs:
        soak._restart(program)
