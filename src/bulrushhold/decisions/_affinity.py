"""Prefer the same engines for a prompt at all entries, without messages."""

import collections.abc as cabc
import math
import typing as t

import xxhash

from bulrushhold.decisions import _backendserver

# Engines of which the first ones are sorted out, relative to their number.
COMPARED_PER_ENGINE: t.Final = 5


def exponential_jitter(segment: str, ident: str) -> float:
    """Return a pseudorandom value, exponentially distributed with mean 1.

    It depends only on the arguments, so that all entries compute the same
    value and a retry reaches the engine that has its prompt cached.
    """
    draw = xxhash.xxh64_intdigest(f'{ident}/{segment}'.encode()) / 2**64
    return -math.log1p(-draw)


def preferred_engines(
    backends: list[_backendserver.BackendServer],
    segment: str,
    count: int,
    excluded: cabc.Set[str] = frozenset(),
) -> list[_backendserver.BackendServer]:
    """Return the first engines by rendezvous hashing of a prompt's segment.

    :param excluded: idents of engines to leave out.
    """
    prefix = f'{segment}/'.encode()
    digest = xxhash.xxh64_intdigest
    # Digests are uniform: nearly always, enough of them exceed this value.
    share = COMPARED_PER_ENGINE * count / max(1, len(backends))
    first: list[tuple[int, _backendserver.BackendServer]] = []
    for least in (int(2**64 * max(0.0, 1 - share)), 0):
        first = [
            (value, backend)
            for backend in backends
            if (value := digest(prefix + backend.encoded_ident)) >= least
            and backend.ident not in excluded
        ]
        if len(first) >= count:
            break
    first.sort(key=lambda pair: pair[0], reverse=True)
    return [backend for _, backend in first[:count]]
