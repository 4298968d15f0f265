"""Keeps the blocks of poison requests, longer each time."""

import random
import typing as t

import attrs

from bulrushhold import messages

FIRST_BLOCK_S: t.Final = 60.0
MAX_BLOCK_S: t.Final = 3600.0
# Entries end a block one after the other in this last share of its duration,
# so that the first request to be tried again runs alone.
END_SPREAD_SHARE: t.Final = 1 / 6
# A request that crashes another engine within this multiple of its last block
# is blocked again, for twice as long.
PROBATION_FACTOR: t.Final = 10.0
MAX_BLOCKS: t.Final = 10_000


@attrs.frozen
class Block:
    """A block, which may have ended.

    :param until: its end at the last entry.
    :param ends_at: its end at this entry.
    """

    until: float
    ends_at: float
    duration_s: float

    @property
    def opens_at(self) -> float:
        """When the first entry may end it."""
        return self.until - END_SPREAD_SHARE * self.duration_s


class RequestBlocks:
    """The blocks of requests that crashed engines, by fingerprint."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.blocks: dict[str, Block] = {}

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a request may be sent again, or 0."""
        block = self.blocks.get(fingerprint)
        return 0.0 if block is None else max(0.0, block.ends_at - now)

    def last(self, fingerprint: str, now: float) -> Block | None:
        """Return the present block, or one that has ended not long ago."""
        block = self.blocks.get(fingerprint)
        if block is None:
            return None
        if now > block.ends_at + PROBATION_FACTOR * block.duration_s:
            del self.blocks[fingerprint]
            return None
        return block

    def add(self, fingerprint: str, since: float, now: float) -> bool:
        """Block a request; return ``False`` if that changes nothing now.

        :param since: when the last engine crashed.
        """
        if self.remaining_s(fingerprint, now):
            return False
        last = self.last(fingerprint, now)
        duration_s = (
            FIRST_BLOCK_S
            if last is None
            else min(MAX_BLOCK_S, 2 * last.duration_s)
        )
        if since + duration_s <= now:
            return False
        self._set(fingerprint, since + duration_s, duration_s)
        return True

    def apply(self, block: messages.RequestBlock, now: float) -> bool:
        """Apply another entry's block.

        :returns: whether the request was not blocked until now.
        """
        until = now + block.remaining_s
        known = self.blocks.get(block.fingerprint)
        if known is not None and known.until >= until:
            return False
        was_blocked = bool(self.remaining_s(block.fingerprint, now))
        self._set(block.fingerprint, until, block.duration_s)
        return not was_blocked

    def remove(self, fingerprint: str) -> bool:
        """Forget a request's blocks; return whether there was any."""
        return self.blocks.pop(fingerprint, None) is not None

    def describe(
        self, fingerprint: str, now: float
    ) -> messages.RequestBlock | None:
        """Return a block with its remaining time, unless it has ended."""
        block = self.blocks.get(fingerprint)
        if block is None or block.until <= now:
            return None
        return messages.RequestBlock(
            fingerprint, round(block.until - now, 3), block.duration_s
        )

    def _set(self, fingerprint: str, until: float, duration_s: float) -> None:
        spread_s = END_SPREAD_SHARE * duration_s * self.rng.random()
        self.blocks.pop(fingerprint, None)
        self.blocks[fingerprint] = Block(until, until - spread_s, duration_s)
        while len(self.blocks) > MAX_BLOCKS:
            del self.blocks[next(iter(self.blocks))]
