"""How fast the busy engines of a service read prompts."""

import math
import typing as t

from bulrushhold.decisions import _engineroom
from bulrushhold.decisions import _enginespeeds

# Sums from before a pause of updates say nothing of the time after it.
MAX_UPDATE_GAP_S: t.Final = 1.0
# Weight of the estimate that is used until enough prompts have been read.
PRIOR_WEIGHT_S: t.Final = 1.0


class ReadRate:
    """Prompt tokens read per second by engines that have prompts to read.

    The time from sending a prompt to its first event doesn't tell this of a
    busy engine: how much of the prompt before it had been read is unknown.
    """

    def __init__(self) -> None:
        self.updated_at = -math.inf
        self._restart(0.0, 0.0)

    def _restart(self, tokens: float, now: float) -> None:
        self.started_at = now
        self.tokens_before = tokens
        self.tokens = 0.0
        self.busy_s = 0.0
        self.busy_speed = 0.0

    def update(
        self,
        engines: t.Iterable[_engineroom.EngineRoom],
        tokens: float,
        now: float,
    ) -> None:
        """Apply the present load.

        :param tokens: decayed sum of the prompt tokens read by all engines,
            as in :class:`messages.EngineSpeed`.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s > MAX_UPDATE_GAP_S:
            self._restart(tokens, now)
        else:
            self.busy_s *= _decay(elapsed_s)
            self.busy_s += self.busy_speed * elapsed_s
            before = self.tokens_before * _decay(now - self.started_at)
            self.tokens = max(0.0, tokens - before)
        self.busy_speed = sum(
            1 / engine.slowness for engine in engines if engine.reading > 0
        )
        self.updated_at = now

    def token_s(self, prior_s: float) -> float:
        """Return the seconds that an engine of mean speed needs for a token.

        :param prior_s: estimate in seconds while few prompts have been read.
        """
        prior_tokens = PRIOR_WEIGHT_S / prior_s
        return (self.busy_s + PRIOR_WEIGHT_S) / (self.tokens + prior_tokens)


def _decay(seconds: float) -> float:
    return 0.5 ** (seconds / _enginespeeds.HALF_LIFE_S)
