"""Crowds of clients that don't behave, at random ports of random processes."""

import asyncio
import random
import re
import time

from tests import crowds
from tests.platform.soak import fakes

MEAN_INTERVAL_S = 1.5
MIN_SECONDS, MAX_SECONDS = 0.5, 2.5
MIN_SIZE, MAX_SIZE = 10, 40
MEMORY_MB = 128
SAMPLE_INTERVAL_S = 0.05
KINDS = (
    crowds.send_long_head,
    crowds.send_endless_field,
    crowds.send_endless_fields,
    crowds.send_endless_trailers,
    crowds.send_empty_lines,
    crowds.send_short_body,
    crowds.send_short_chunks,
    crowds.send_slow_body,
    crowds.send_small_chunks,
    crowds.send_chunk_extension,
    crowds.send_whole_body,
    crowds.send_compressed_body,
    crowds.send_nothing,
    crowds.read_no_answer,
)
# Name of the port, offset from the first one between processes, and path.
PORTS = {
    'entry': (
        ('front', 0, fakes.SAFE_PATH),
        ('ready', 0, '/bulrushhold/ready'),
        ('directory', 0, '/bulrushhold/resolve'),
        ('internal', 0, '/'),
        ('internal', 2, '/attempts'),
    ),
    'control': (
        ('control', 0, '/bulrushhold/Config.Get'),
        ('control', 0, '/bulrushhold/Config.Put'),
        ('internal', 1, '/'),
    ),
}


async def play(soak, key, deadline):
    """Play crowds that overlap, and watch the memory of all processes.

    :param soak: the :class:`run.SoakRun`.
    :param key: of a client account, with which requests go as far as can be.
    """
    rng = random.Random(f'crowds {soak.report.seed}')
    watch = asyncio.ensure_future(_watch_memory(soak, deadline))
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
        program = rng.choice(soak.system.programs)
        port, offset, path = rng.choice(PORTS[program.role])
        target = crowds.Target(
            program.ip,
            soak.system.ports[port] + offset,
            path,
            (
                'Bulrushhold-Request-Id: stranger',
                f'Bulrushhold-Credential: {key}',
            ),
        )
        send = rng.choice(KINDS)
        crowd = crowds.Crowd(target, send, rng.randint(MIN_SIZE, MAX_SIZE))
        soak._record_fault(send.__name__, f'{program.name} {port} {path}')
        soak._start_task(_hold(crowd, rng.uniform(MIN_SECONDS, MAX_SECONDS)))
    await watch


async def _hold(crowd, seconds):
    async with crowd:
        await asyncio.sleep(seconds)


async def _watch_memory(soak, deadline):
    excesses = {}
    while time.monotonic() < deadline:
        for program in soak.system.programs:
            used_mb = crowds.resident_mb(program.process.pid)
            if used_mb > _memory_mb(program):
                excesses[program.name] = used_mb
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    soak.report.violations += [
        f'{name} used {used_mb:.0f} MB' for name, used_mb in excesses.items()
    ]


def _memory_mb(program):
    """Return the memory that its settings name, or that of a small one."""
    found = re.search(r'memory-mb = (\d+)', program.settings.read_text())
    return int(found[1]) if found else MEMORY_MB
