"""Placement of keys on entries by rendezvous hashing.

With highest-random-weight hashing (Thaler and Ravishankar, 1998), processes
that see the same instances choose the same home entries without
coordination, and losing an instance remaps only the keys on it.
"""

import collections.abc as cabc
import math
import typing as t

import xxhash

from bulrushhold import ports

SMALL_ACCOUNT_ENTRIES: t.Final = 3
# A majority of five survives the loss of two entries at once, as do the
# transcript's three copies.
POINTER_HOMES: t.Final = 5
# With fewer entries, where a majority of four would survive only one loss.
FEWER_POINTER_HOMES: t.Final = 3
_T = t.TypeVar('_T')


def rendezvous_order(
    key: str, candidates: cabc.Iterable[_T], name: cabc.Callable[[_T], str]
) -> list[_T]:
    """Return the candidates by descending rendezvous weight for a key."""
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        candidates,
        key=lambda item: digest(f'{key}\0{name(item)}'.encode()),
        reverse=True,
    )


def rendezvous_ranking(
    key: str, candidates: cabc.Sequence[tuple[bytes, _T]]
) -> list[_T]:
    """Return the same order as :func:`rendezvous_order`.

    :param candidates: with their encoded names, for many rankings.
    """
    digest = xxhash.xxh3_64_intdigest
    prefix = f'{key}\0'.encode()
    digests = [digest(prefix + name) for name, _ in candidates]
    order = sorted(range(len(digests)), key=digests.__getitem__, reverse=True)
    return [candidates[index][1] for index in order]


def home_entries(
    key: str, entries: cabc.Iterable[ports.Instance], count: int
) -> list[ports.Instance]:
    """Return the ``count`` home entries of a key, in distinct data centres.

    If there are fewer data centres than ``count``, the next-ranked entries
    fill the remainder.
    """
    ranking = rendezvous_order(key, entries, lambda entry: entry.name)
    return _spread_over_data_centres(ranking, count, set())


def pointer_homes(
    key: str, entries: cabc.Sequence[ports.Instance]
) -> list[ports.Instance]:
    """Return the entries that hold a key's pointer."""
    few = len(entries) < POINTER_HOMES
    return home_entries(
        key, entries, FEWER_POINTER_HOMES if few else POINTER_HOMES
    )


def copy_peers(
    own: ports.Instance, entries: cabc.Iterable[ports.Instance], count: int
) -> list[ports.Instance]:
    """Return the peers that store copies of an entry's transcripts.

    Peers are chosen by entry, not by key, so that one message to a peer
    can carry tokens of many streams.
    """
    others = [entry for entry in entries if entry.name != own.name]
    ranking = rendezvous_order(
        f'copies of {own.name}', others, lambda e: e.name
    )
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


def entries_needed(share: float, entries: int) -> int:
    """Return over how many entries an account's requests are spread.

    Returns 1 for a small account, whose callers all prefer the same entry.

    :param share: the account's share of the total weight, 0 to 1.
    """
    count = min(entries, math.ceil(2 * share * entries))
    return count if count > SMALL_ACCOUNT_ENTRIES else 1


def entries_for_account(
    account: str,
    share: float,
    entries: list[ports.Instance],
    near: str = '',
) -> list[ports.Instance]:
    """Return the entries that an account should use, in order of preference.

    A small account gets a small stable set, so that its limits aren't
    fragmented; a large account gets more entries to spread its load.

    :param share: the account's share of the total weight, 0 to 1.
    :param near: the caller's data centre, whose entries come first.
    """
    count = max(SMALL_ACCOUNT_ENTRIES, entries_needed(share, len(entries)))
    ranking = rendezvous_order(
        f'entries of {account}', entries, lambda e: e.name
    )
    chosen = _spread_over_data_centres(
        ranking, min(count, len(entries)), set()
    )
    return sorted(chosen, key=lambda entry: entry.data_centre != near)
