"""Which entries callers are sent to, by the capacity of their instances."""

import collections.abc as cabc
import statistics
import typing as t

import xxhash

from bulrushhold import messages

# Memory that an entry needs without any request, and what the callers of a
# whole core need beyond it, as entries of 0.5 cores are given 5 Mbit/s.
BASE_MEMORY_BYTES: t.Final = 64 << 20
MEMORY_BYTES_PER_CORE: t.Final = 48 << 20
LINK_MBPS_PER_CORE: t.Final = 5.0
# Rounded, so that small differences change nothing.
WEIGHT_STEP: t.Final = 0.125
# Addresses that a caller gets at least. Among few entries, half of them: more
# would leave no way to send fewer callers to small ones.
MIN_ADDRESSES: t.Final = 8
MIN_ADDRESSES_OF_FEW: t.Final = 4
# Utilization at which an entry asks for half as many callers, and below which
# it asks for all of them again.
HIGH_UTILIZATION: t.Final = 0.8
LOW_UTILIZATION: t.Final = 0.6
HALVED: t.Final = 0.5
# Callers return in two steps, a second apart, so that they don't swing.
RETURN_STEP: t.Final = 0.25
MIN_CHANGE_INTERVAL_S: t.Final = 1.0
_HASH_RANGE: t.Final = 1 << 64


def entry_capacity(cores: float, memory_bytes: int, link_mbps: float) -> float:
    """Return the weight of an instance, in cores; 1.0 if nothing is known.

    :param cores: cores of usual speed.
    :param memory_bytes: memory of the instance.
    :param link_mbps: bandwidth.
    """
    bounds = []
    if cores:
        bounds.append(cores)
    if memory_bytes:
        spare = memory_bytes - BASE_MEMORY_BYTES
        bounds.append(spare / MEMORY_BYTES_PER_CORE)
    if link_mbps:
        bounds.append(link_mbps / LINK_MBPS_PER_CORE)
    capacity = min(bounds, default=1.0)
    return max(WEIGHT_STEP, round(capacity / WEIGHT_STEP) * WEIGHT_STEP)


def weights_differ(entries: cabc.Iterable[messages.ListedEntry]) -> bool:
    """Return whether entries without a disk differ in capacity."""
    return len({e.weight for e in entries if not e.has_disk}) > 1


def choose_entries(
    candidates: cabc.Sequence[messages.ListedEntry],
    entries: cabc.Iterable[messages.ListedEntry],
    caller: str,
    limit: int,
) -> list[messages.ListedEntry]:
    """Return the candidates that a caller is sent to.

    A candidate is included with a probability in proportion to its weight, 1
    for the largest weight. The choice depends on the caller and on each
    candidate alone (weighted rendezvous hashing, as an order sample of Rosén,
    1997), so that a change of one candidate changes one place in the list.

    :param entries: all entries, also those that are no candidates.
    :param caller: address of the caller.
    :param limit: maximum number of entries.
    """
    weights = [e.weight for e in entries if not e.has_disk]
    mean = statistics.fmean(weights)
    largest = max(weights)
    seed = xxhash.xxh3_64_intdigest(caller.encode())

    def rank(entry: messages.ListedEntry) -> float:
        weight = mean if entry.has_disk else entry.weight
        digest = xxhash.xxh3_64_intdigest(entry.name.encode(), seed)
        draw = digest / _HASH_RANGE
        return draw * largest / (weight * entry.load_factor)

    few = max(MIN_ADDRESSES_OF_FEW, len(candidates) // 2)
    at_least = min(MIN_ADDRESSES, few)
    ranking = sorted(
        (rank(entry), number) for number, entry in enumerate(candidates)
    )
    return [
        candidates[number]
        for place, (value, number) in enumerate(ranking[:limit])
        if value < 1.0 or place < at_least
    ]


class LoadFactor:
    """The share of its usual callers that an entry asks for.

    :ivar value: 1.0, or less while it is overloaded.
    """

    def __init__(self) -> None:
        self.value = 1.0
        self.changed_at = float('-inf')
        self.high_since: float | None = None

    def update(self, utilization: float, now: float) -> bool:
        """Record the present utilization; return whether the value changed.

        :param utilization: the highest of processor, buffers and connections,
            relative to their limits.
        """
        if utilization <= HIGH_UTILIZATION:
            self.high_since = None
        elif self.high_since is None:
            self.high_since = now
        if now - self.changed_at < MIN_CHANGE_INTERVAL_S:
            return False
        value = self.value
        if self.high_since is not None:
            if now - self.high_since >= MIN_CHANGE_INTERVAL_S:
                value = HALVED
        elif utilization < LOW_UTILIZATION:
            value = min(1.0, value + RETURN_STEP)
        if value == self.value:
            return False
        self.value = value
        self.changed_at = now
        return True
