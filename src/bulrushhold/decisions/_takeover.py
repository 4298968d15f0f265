"""Takeover of a key by another entry, and the choice of the copy to resume.

A key can have more than one generated text, since an entry that finds no copy
starts the answer over. A caller with tokens of one text must never get the
rest of another. An entry that starts a text therefore records its epoch
(``start_epoch``) at a majority of the key's pointer homes before using an
engine, and a takeover reads a majority and ignores copies written before it.
"""

import collections.abc as cabc

import attrs

from bulrushhold import messages


@attrs.frozen
class PointerSummary:
    """Combined answers of a key's pointer homes.

    :param complete: whether all homes answered.
    :param majority: whether a majority of the homes answered.
    :param conclusive: whether a majority of the homes would know of any
        earlier use of the key.
    :param epoch: highest epoch registered at a home.
    :param start_epoch: epoch in which the latest text was started.
    :param copy_addresses: addresses that may hold a copy.
    :param mismatch: whether the key was used for another request.
    """

    complete: bool
    majority: bool
    conclusive: bool
    epoch: int
    start_epoch: int
    copy_addresses: list[str]
    mismatch: bool


def summarize_pointers(
    states: cabc.Collection[messages.PointerState], home_count: int
) -> PointerSummary:
    """Combine the answers of ``home_count`` pointer homes."""
    quorum = home_count // 2 + 1
    newest = max((state.since for state in states), default=0)
    copy_addresses = {
        address
        for state in states
        if state.since == newest
        for address in state.former
    }
    return PointerSummary(
        complete=len(states) == home_count,
        majority=len(states) >= quorum,
        conclusive=sum(state.sure for state in states) >= quorum,
        epoch=max((state.epoch for state in states), default=0),
        start_epoch=newest,
        copy_addresses=sorted(copy_addresses),
        mismatch=any(state.mismatch for state in states),
    )


def best_copy(
    copies: cabc.Iterable[messages.CopyState], start_epoch: int
) -> messages.CopyState | None:
    """Return the copy to resume: of the latest writer, the longest."""
    candidates = [
        copy
        for copy in copies
        if copy.granted and copy.written and copy.written >= start_epoch
    ]
    return max(
        candidates,
        key=lambda copy: (copy.written, len(copy.tokens)),
        default=None,
    )
