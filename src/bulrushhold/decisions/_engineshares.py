"""The engines that one entry uses while no scheduling home can be reached.

All entries partition the capacity of a service in the same way, from lists
that they all have, so that they needn't exchange messages.
"""

import collections.abc as cabc
import math
import statistics
import typing as t

from bulrushhold.decisions import _backendpool
from bulrushhold.decisions import _engineroom
from bulrushhold.decisions import _pacedplacement
from bulrushhold import messages

# Smaller parts result from rounding.
MIN_SHARE: t.Final = 1e-6
# Load reports up to this age count as current.
MAX_REPORT_AGE_S: t.Final = 0.5
# Duration of a stream while none has ended yet.
DEFAULT_RUN_S: t.Final = 5.0


def engine_shares(
    own: messages.ListedEntry,
    entries: cabc.Iterable[messages.ListedEntry],
    engines: cabc.Iterable[str],
) -> dict[str, float]:
    """Return the share of each engine that an entry owns, by ident.

    With entries and engines each in order of their names, every entry owns an
    interval of the engines in proportion to its weight.

    :param own: the entry.
    :param entries: all entries, those that aren't ready included; ``own`` need
        not be among them.
    :param engines: idents of the service's engines.
    """
    members = {entry.name: entry for entry in entries} | {own.name: own}
    weights = _weights(members)
    before = sum(w for name, w in weights.items() if name < own.name)
    total = sum(weights.values())
    idents = sorted(engines)
    start = before / total * len(idents)
    end = start + weights[own.name] / total * len(idents)
    shares = {}
    for number in range(int(start), min(len(idents), math.ceil(end))):
        share = min(end, number + 1) - max(start, number)
        if share > MIN_SHARE:
            shares[idents[number]] = min(1.0, share)
    return shares


def _weights(
    members: dict[str, messages.ListedEntry],
) -> dict[str, float]:
    """Return the weights of entries, sorted by name."""
    measured = [e.weight for e in members.values() if not e.has_disk]
    mean = statistics.fmean(measured) if measured else 1.0
    return {
        name: mean if members[name].has_disk else members[name].weight
        for name in sorted(members)
    }


def owned_rooms(
    pool: _pacedplacement.PacedPlacement,
    service: str,
    shares: cabc.Mapping[str, float],
    now: float,
) -> list[_engineroom.EngineRoom]:
    """Return the engines that an entry owns a share of and that can be used.

    Load of other entries counts as far as it exceeds their share. Without
    current reports it is taken to decay over the duration of a stream.

    :param shares: as returned by :func:`engine_shares`.
    """
    usable = {
        engine.ident: engine
        for engine in pool.allowing(pool.usable(service, now), now)
        if engine.ejected_until <= now
    }
    slowness = pool.slowness(service, now)
    limit = pool.capacity.get(service, 0)
    remaining = _remaining_share(pool, service, now)
    fresh = now - pool.last_report_at < MAX_REPORT_AGE_S
    rooms = []
    for ident, share in shares.items():
        engine = usable.get(ident)
        if engine is None:
            continue
        others = engine.remote_load
        slots = engine.slots
        rooms.append(
            _engineroom.EngineRoom(
                ident,
                engine.reading + (others.reading if fresh else 0),
                engine.inflight
                + _excess(remaining * others.running, share, slots),
                engine.memory
                + _excess(
                    remaining * others.memory,
                    share,
                    _backendpool.MAX_MEMORY_SHARE * limit,
                ),
                max(1, int(share * slots)) if slots else 0,
                max(1, int(share * limit)) if limit else 0,
                slowness.get(ident, 1.0),
                engine.version,
                share,
            )
        )
    return rooms


def _remaining_share(
    pool: _backendpool.BackendPool, service: str, now: float
) -> float:
    """Return the share of the reported streams that hasn't ended yet."""
    run_s = pool.speeds.run_s(service, now) or DEFAULT_RUN_S
    outdated_s = max(0.0, now - pool.last_report_at - MAX_REPORT_AGE_S)
    return max(0.0, 1 - outdated_s / run_s)


def _excess(used: float, share: float, limit: float) -> int:
    """Return what others use beyond their part of an engine's limit."""
    return math.ceil(max(0.0, used - (1 - share) * limit)) if limit else 0
