"""What happens beside the silences of servers.

Each function works until a deadline on a :class:`silence.SilenceRun`.
"""

import asyncio
import random
import signal
import time

from tests.platform.soak import poison
from tests.platform.soak import run

CHANGE_INTERVAL_S = 1.0
RESTART_INTERVAL_S = 2.5
SERIES_INTERVAL_S = 0.7
REPLACE_INTERVAL_S = 1.5
DRAIN_S = 2.5
GONE_S = 2.0
DEAD_S = 5.0
DEAD_INTERVAL_S = 6.0
# Within a silence of others.
FIRST_DEATH_S = 3.5
DARK_AFTER_S = 6.5
POLL_S = 0.02


async def put_route_maps(silence_run, deadline):
    while time.monotonic() < deadline:
        silence_run.version += 1
        await silence_run._put_route_map(silence_run.version)
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def hup_in_turn(silence_run, deadline):
    entries = silence_run.system.programs_with_role('entry')
    while time.monotonic() < deadline:
        for entry in entries:
            silence_run.system.signal(entry, signal.SIGHUP)
            await asyncio.sleep(CHANGE_INTERVAL_S)


async def terminate_in_turn(silence_run, deadline):
    system = silence_run.system
    while time.monotonic() < deadline:
        for entry in system.programs_with_role('entry'):
            if time.monotonic() > deadline:
                return
            system.signal(entry, signal.SIGTERM)
            await system.wait_for_exit(entry)
            system.start(entry)
            await asyncio.sleep(RESTART_INTERVAL_S)


async def replace_servers(silence_run, deadline):
    """Replace servers, as a roll-out or a release does, without a drain."""
    rng = _rng('replace', silence_run)
    while time.monotonic() < deadline:
        server = rng.choice(silence_run.engines)
        silence_run._record_fault('replace', server.ident)
        server.restart(server.version)
        server.proxy.fault = 'refuse'
        await asyncio.sleep(rng.random())
        server.proxy.fault = ''
        await asyncio.sleep(REPLACE_INTERVAL_S)


async def drain_servers(silence_run, deadline):
    """Let servers leave: draining in the list, gone, and back as others."""
    rng = _rng('drain', silence_run)
    while time.monotonic() < deadline:
        server = rng.choice(silence_run.engines)
        silence_run._record_fault('drain', server.ident)
        server.draining = True
        await asyncio.sleep(DRAIN_S)
        silence_run.engines.remove(server)
        try:
            await server.proxy.go_down(GONE_S)
        finally:
            server.restart(server.version)
            silence_run.engines.append(server)


async def lose_engines(silence_run, deadline):
    """Let engines refuse connections for a time, and one go dark for good."""
    rng = _rng('lose', silence_run)
    started_at = time.monotonic()
    dark = asyncio.ensure_future(_go_dark(silence_run, rng))
    await asyncio.sleep(FIRST_DEATH_S)
    while time.monotonic() < deadline - DEAD_S:
        engine = await _find_engine(silence_run, rng)
        silence_run.record_loss('dead', engine)
        engine.dead = True
        await engine.proxy.go_down(DEAD_S)
        engine.dead = False
        elapsed_s = time.monotonic() - started_at
        await asyncio.sleep(-(elapsed_s - FIRST_DEATH_S) % DEAD_INTERVAL_S)
    await dark


async def _go_dark(silence_run, rng):
    await asyncio.sleep(DARK_AFTER_S)
    engine = await _find_engine(silence_run, rng)
    silence_run.record_loss('dark', engine)
    engine.dead = True
    engine.proxy.fault = 'silent'


async def _find_engine(silence_run, rng):
    """Return a sound engine that isn't silent."""
    while True:
        engines = [
            engine
            for engine in silence_run.engines
            if engine.service == 's-model'
            and not engine.proxy.silences
            and not engine.dead
        ]
        if engines:
            return rng.choice(engines)
        await asyncio.sleep(POLL_S)


async def send_poison(silence_run, deadline):
    callers = poison.PoisonCallers(
        _rng('poison', silence_run), silence_run, run.API_KEY
    )
    await callers.run(
        deadline, silence_run._record_fault, silence_run._start_task
    )


async def restart_in_series(silence_run, deadline):
    """Restart entries in overlapping series, with more signals meanwhile.

    Entries are back at once, and may be signalled as they start.
    """
    rng = _rng('restart', silence_run)
    system = silence_run.system
    restarts = set()
    while time.monotonic() < deadline:
        entry = rng.choice(system.programs_with_role('entry'))
        if entry.name not in restarts:
            restarts.add(entry.name)
            silence_run._start_task(
                _restart(silence_run, entry, rng, restarts)
            )
        await asyncio.sleep(rng.expovariate(1 / SERIES_INTERVAL_S))


async def _restart(silence_run, entry, rng, restarts):
    system = silence_run.system
    silence_run._record_fault('restart', entry.name)
    for number in rng.sample((signal.SIGHUP, signal.SIGTERM), 2):
        system.signal(entry, number)
        await asyncio.sleep(rng.choice((0.0, 0.3)))
    system.signal(entry, rng.choice((signal.SIGHUP, signal.SIGTERM)))
    await system.wait_for_exit(entry)
    system.start(entry)
    if rng.random() < 0.5:
        await asyncio.sleep(rng.random())
        system.signal(entry, signal.SIGHUP)
    await asyncio.sleep(RESTART_INTERVAL_S)
    restarts.discard(entry.name)


def _rng(name, silence_run):
    return random.Random(f'{name} {silence_run.report.seed}')


WORK = {
    'route_maps': put_route_maps,
    'hup': hup_in_turn,
    'term': terminate_in_turn,
    'restarts': restart_in_series,
    'replace': replace_servers,
    'drain': drain_servers,
    'lose': lose_engines,
    'poison': send_poison,
}
