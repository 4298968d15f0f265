"""Remembers which engines have read which prompts."""

import collections
import typing as t

MAX_CACHED_PROMPTS: t.Final = 4000
# A prompt read longer ago than this has probably been evicted.
CACHED_PROMPT_TTL_S: t.Final = 20.0


class CachedPrompts:
    """By the last segment of a prompt, the engine that read it last."""

    def __init__(self) -> None:
        self.reads: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def record_read(self, segment: str, ident: str, now: float) -> None:
        """Record that an engine has read and cached a prompt.

        :param segment: last segment of the prompt, or ``''`` if unknown.
        """
        if segment:
            self.reads[segment] = (ident, now)
            self.reads.move_to_end(segment)
            while len(self.reads) > MAX_CACHED_PROMPTS:
                self.reads.popitem(last=False)

    def engine(self, segment: str, now: float) -> str:
        """Return the engine that has a prompt, or ``''`` if none is known."""
        ident, at = self.reads.get(segment, ('', 0.0))
        return ident if now - at < CACHED_PROMPT_TTL_S else ''
