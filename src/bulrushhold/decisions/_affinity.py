"""Prefer the same engines for a prompt at all entries, without messages."""

import heapq
import math

import xxhash

from bulrushhold.decisions import _backendserver


def exponential_jitter(segment: str, ident: str) -> float:
    """Return a pseudorandom value, exponentially distributed with mean 1.

    It depends only on the arguments, so that all entries compute the same
    value and a retry reaches the engine that has its prompt cached.
    """
    draw = xxhash.xxh64_intdigest(f'{ident}/{segment}'.encode()) / 2**64
    return -math.log1p(-draw)


def preferred_engines(
    backends: list[_backendserver.BackendServer], segment: str, count: int
) -> list[_backendserver.BackendServer]:
    """Return the first engines by rendezvous hashing of a prompt's segment."""
    prefix = f'{segment}/'.encode()
    digest = xxhash.xxh64_intdigest
    digests = [digest(prefix + backend.encoded_ident) for backend in backends]
    largest = heapq.nlargest(count, digests)
    if not largest:
        return []
    first = [
        (value, backend)
        for value, backend in zip(digests, backends, strict=True)
        if value >= largest[-1]
    ]
    first.sort(key=lambda pair: pair[0], reverse=True)
    return [backend for _, backend in first[:count]]
