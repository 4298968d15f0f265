"""How fast the busy engines of a service read prompts."""

import collections.abc as cabc
import math
import typing as t

from bulrushhold.decisions import _engineroom
from bulrushhold.decisions import _enginespeeds

# Sums from before a longer pause of updates aren't compared with later ones.
MAX_UPDATE_GAP_S: t.Final = 1.0
# Weight of the estimate that is used until enough prompts have been read.
PRIOR_WEIGHT_S: t.Final = 1.0
# Weight of another process's estimate, as time in which all engines are busy.
REPORTED_WEIGHT_S: t.Final = 3.0
# The estimate counts as known after as much time with all engines busy.
KNOWN_S: t.Final = 2.0
# If the sum changes by a larger share between two updates, and by more than
# was left to read, reporters are new, with all they have counted, or gone.
MAX_CHANGE_SHARE: t.Final = 0.125
# The sum isn't used for this time after reporters are gone, or as a new home
# begins: entries of a lost process then begin to report to another one.
HOLD_S: t.Final = 2.0


class ReadRate:
    """Prompt tokens read per second by engines that have prompts to read.

    The time from sending a prompt to its first event doesn't tell this of a
    busy engine: how much of the prompt before it had been read is unknown.
    """

    def __init__(self) -> None:
        self.updated_at = self.started_at = -math.inf
        self.held_until = -math.inf
        self.reporters: cabc.Set[str] = frozenset()
        # The sum at the last update, and the part of it before the start.
        self.total = 0.0
        self.tokens_before = 0.0
        self.tokens = 0.0
        self.busy_s = 0.0
        self.busy_speed = 0.0
        self.speed = 0.0
        self.pending_tokens = 0

    @property
    def is_known(self) -> bool:
        """Whether it has been measured for long enough to be relied on."""
        return self.busy_s > KNOWN_S * self.speed > 0

    def assume(self, token_s: float) -> None:
        """Start with what another process has measured.

        :param token_s: seconds per token.
        """
        self.busy_s = REPORTED_WEIGHT_S * self.speed
        self.tokens = self.busy_s / token_s
        self._begin(self.updated_at)
        self.held_until = self.updated_at + HOLD_S

    def update(
        self,
        engines: t.Iterable[_engineroom.EngineRoom],
        tokens: float,
        now: float,
        reporters: cabc.Set[str] = frozenset(),
    ) -> None:
        """Apply the present load.

        :param tokens: decayed sum of the prompt tokens read by all engines,
            as in :class:`messages.EngineSpeed`.
        :param reporters: entries and processes whose reports it adds up.
        """
        elapsed_s = now - self.updated_at
        self.total = tokens
        if elapsed_s <= MAX_UPDATE_GAP_S and self._may_count(
            tokens, reporters, now
        ):
            self.busy_s *= _decay(elapsed_s)
            self.busy_s += self.busy_speed * elapsed_s
            self.tokens = max(0.0, self._read(tokens, now))
        else:
            self._begin(now)
        self.reporters = reporters
        engines = list(engines)
        busy = [engine for engine in engines if engine.reading > 0]
        self.speed = sum(1 / engine.slowness for engine in engines)
        self.busy_speed = sum(1 / engine.slowness for engine in busy)
        self.pending_tokens = sum(engine.reading for engine in busy)
        self.updated_at = now

    def _begin(self, now: float) -> None:
        """Count what is read from now on in addition to `tokens`."""
        self.started_at = now
        self.tokens_before = self.total - self.tokens

    def _read(self, tokens: float, now: float) -> float:
        """Return the tokens read since the start, given the present sum."""
        return tokens - self.tokens_before * _decay(now - self.started_at)

    def _may_count(
        self, tokens: float, reporters: cabc.Set[str], now: float
    ) -> bool:
        """Return whether the sum has changed only by what was read."""
        read = self._read(tokens, now)
        change = read - self.tokens * _decay(now - self.updated_at)
        most = MAX_CHANGE_SHARE * tokens
        if (
            self.reporters - reporters
            or change > max(most, self.pending_tokens)
            or -change > most
        ):
            self.held_until = now + HOLD_S
        has_new = bool(reporters - self.reporters) and change > most
        return now >= self.held_until and not has_new

    def token_s(self, prior_s: float) -> float:
        """Return the seconds that an engine of mean speed needs for a token.

        :param prior_s: estimate in seconds while few prompts have been read.
        """
        prior_tokens = PRIOR_WEIGHT_S / prior_s
        return (self.busy_s + PRIOR_WEIGHT_S) / (self.tokens + prior_tokens)


def _decay(seconds: float) -> float:
    return 0.5 ** (seconds / _enginespeeds.HALF_LIFE_S)
