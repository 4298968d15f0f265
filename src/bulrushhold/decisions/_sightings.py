"""What entries see of model engines, put together by the leader.

An entry alone learns of an engine's loss only from its own streams, and
of the prompts that others send there not at all. When a data centre loses
power, every entry would move its streams to the same few idle engines,
each of which then reads several prompts one after the other.
"""

import collections
import typing as t

import attrs

from bulrushhold import messages

# Losses are told to entries that were out of touch for a moment; an engine
# that was lost longer ago has been restarted or taken off the list.
LOSS_KEPT_S: t.Final = 2.0


@attrs.frozen
class _Loss:
    number: int
    ident: str
    at: float


class SightingBoard:
    """The newest word of every entry."""

    def __init__(self) -> None:
        self.number = 0
        self.seen: dict[str, dict[str, messages.EngineSeen]] = {}
        self.losses: collections.deque[_Loss] = collections.deque()

    def take(
        self,
        entry: str,
        seen: dict[str, messages.EngineSeen],
        lost: list[str],
        now: float,
    ) -> bool:
        """Take what an entry says; return whether an engine was lost."""
        self.number += 1
        self.seen[entry] = seen
        while self.losses and now - self.losses[0].at > LOSS_KEPT_S:
            self.losses.popleft()
        known = {loss.ident for loss in self.losses}
        for ident in lost:
            if ident not in known:
                self.losses.append(_Loss(self.number, ident, now))
        return bool(set(lost) - known)

    def forget(self, entry: str) -> None:
        """Drop what an entry said that is gone."""
        if self.seen.pop(entry, None):
            self.number += 1

    def others(self, entry: str) -> dict[str, messages.EngineSeen]:
        """Return what all other entries have running, by engine."""
        totals: dict[str, messages.EngineSeen] = {}
        for name, seen in self.seen.items():
            if name == entry:
                continue
            for ident, one in seen.items():
                known = totals.get(ident)
                if known is not None:
                    one = messages.EngineSeen(
                        known.reading + one.reading,
                        known.running + one.running,
                    )
                totals[ident] = one
        return totals

    def lost_since(self, number: int) -> list[str]:
        """Return engines lost after the news of ``number``."""
        return [loss.ident for loss in self.losses if loss.number > number]
