"""Which instances hold what: rendezvous hashing over data centres.

Highest random weight (Thaler and Ravishankar, 1998): every process that
knows the same instances picks the same homes without a message, and the
loss of one moves only what was on it.
"""

import collections.abc as cabc
import math
import typing as t

import xxhash

from bulrushhold import ports

SMALL_ACCOUNT_ENTRIES: t.Final = 3
_T = t.TypeVar('_T')


def ranked(
    key: str, candidates: cabc.Iterable[_T], name: cabc.Callable[[_T], str]
) -> list[_T]:
    """Return the candidates, the one of most weight for the key first."""
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        candidates,
        key=lambda item: digest(f'{key}\0{name(item)}'.encode()),
        reverse=True,
    )


def homes(
    key: str, entries: cabc.Iterable[ports.Instance], count: int
) -> list[ports.Instance]:
    """Return ``count`` entries for a key, in differing data centres.

    Where there are fewer data centres than homes, the best of the rest
    follow.
    """
    ranking = ranked(key, entries, lambda entry: entry.name)
    return _spread_over_data_centres(ranking, count, set())


def copy_peers(
    own: ports.Instance, entries: cabc.Iterable[ports.Instance], count: int
) -> list[ports.Instance]:
    """Return the peers that hold one entry's transcripts.

    They follow from the entry and not from the key: with 390 entries and
    homes by key, every token would be a message of its own to one of 389
    peers; with few peers, one message carries a batch of streams.
    """
    others = [entry for entry in entries if entry.name != own.name]
    ranking = ranked(f'copies of {own.name}', others, lambda e: e.name)
    return _spread_over_data_centres(ranking, count, {own.data_centre})


def _spread_over_data_centres(
    ranking: list[ports.Instance], count: int, used_data_centres: set[str]
) -> list[ports.Instance]:
    chosen: list[ports.Instance] = []
    used_data_centres = set(used_data_centres)
    for entry in ranking:
        if entry.data_centre not in used_data_centres and len(chosen) < count:
            chosen.append(entry)
            used_data_centres.add(entry.data_centre)
    rest = [entry for entry in ranking if entry not in chosen]
    return chosen + rest[: max(0, count - len(chosen))]


def entries_wanted(share: float, entries: int) -> int:
    """Return over how many entries an account's callers are spread.

    1 for a small account: its callers all use the first of a few.

    :param share: of the sum of all accounts' weights, 0 to 1.
    """
    count = min(entries, math.ceil(2 * share * entries))
    return count if count > SMALL_ACCOUNT_ENTRIES else 1


def entries_for(
    account: str,
    share: float,
    entries: list[ports.Instance],
    near: str = '',
) -> list[ports.Instance]:
    """Return the entries that an account should use, in order.

    A small account gets a stable few, so that its limits are split few
    ways; a large one gets more, so that no entry carries it alone.

    :param share: of the sum of all accounts' weights, 0 to 1.
    :param near: the caller's data centre, whose entries come first.
    """
    count = max(SMALL_ACCOUNT_ENTRIES, entries_wanted(share, len(entries)))
    ranking = ranked(f'entries of {account}', entries, lambda e: e.name)
    chosen = _spread_over_data_centres(
        ranking, min(count, len(entries)), set()
    )
    return sorted(chosen, key=lambda entry: entry.data_centre != near)
