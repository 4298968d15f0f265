"""Whether a service's engines have spare capacity, as seen by an entry."""

import math
import typing as t

from bulrushhold.decisions import _backendpool

# Below this share of idle engines, entries that place streams independently of
# each other would often choose the same ones.
IDLE_SHARE: t.Final = 1 / 8
MIN_IDLE_ENGINES: t.Final = 2


def has_spare_engines(
    pool: _backendpool.BackendPool, service: str, memory: int, now: float
) -> bool:
    """Return whether enough engines are idle for streams to be placed.

    An idle engine reads no prompt and has a free slot and free memory. Without
    current load reports nothing is known of other entries' streams.

    :param memory: tokens of the stream's prompt and output.
    """
    if now - pool.last_report_at > _backendpool.LOAD_REPORT_TTL_S:
        return False
    engines = pool.usable(service, now)
    needed = max(MIN_IDLE_ENGINES, math.ceil(IDLE_SHARE * len(engines)))
    missing = min(needed, len(engines))
    held = pool.demands.held(now)
    loads = pool.current_loads(engines, now)
    for engine, others in zip(engines, loads, strict=True):
        if not missing:
            break
        if engine.reading + others.reading or engine.ident in held:
            continue
        has_slot = (
            not engine.slots or engine.inflight + others.running < engine.slots
        )
        missing -= (
            has_slot
            and engine.ejected_until <= now
            and not pool.health_penalty(engine, now)
            and pool.has_room(
                engine, now, memory, _backendpool.MAX_MEMORY_SHARE
            )
        )
    return bool(engines) and not missing
