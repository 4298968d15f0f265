"""Whether an entry may go on with a key, and from which copy.

A text is what one entry began from nothing and others may have continued.
A key can have had two texts: an entry that finds no copy of the first one
begins a second. A caller that holds tokens of the second must never get the
rest of the first. So the entry that begins a text says so at a majority of
the key's pointer homes before it asks an engine (``since``), and whoever
continues asks a majority and takes no copy written before that.
"""

import collections.abc as cabc

import attrs

from bulrushhold import messages


@attrs.frozen
class Standing:
    """What a majority of pointer homes says about a key.

    :param majority: enough homes answered.
    :param sure: enough of them would know the key, had it been used.
    :param epoch: the highest in force.
    :param since: the epoch that began the newest text.
    :param former: addresses that may hold a copy.
    """

    majority: bool
    sure: bool
    epoch: int
    since: int
    former: list[str]
    mismatch: bool


def standing(
    states: cabc.Collection[messages.PointerState], home_count: int
) -> Standing:
    """Sum up the answers of ``homes`` pointer homes."""
    quorum = home_count // 2 + 1
    newest = max((state.since for state in states), default=0)
    former = {
        address
        for state in states
        if state.since == newest
        for address in state.former
    }
    return Standing(
        majority=len(states) >= quorum,
        sure=sum(state.sure for state in states) >= quorum,
        epoch=max((state.epoch for state in states), default=0),
        since=newest,
        former=sorted(former),
        mismatch=any(state.mismatch for state in states),
    )


def best_copy(
    copies: cabc.Iterable[messages.CopyState], since: int
) -> messages.CopyState | None:
    """Return the copy to go on from: the last writer's, the longest."""
    candidates = [
        copy
        for copy in copies
        if copy.granted and copy.written and copy.written >= since
    ]
    return max(
        candidates,
        key=lambda copy: (copy.written, len(copy.tokens)),
        default=None,
    )
