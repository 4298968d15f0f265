"""Stall detection and recovery policies for generations."""

import abc
import enum

import attrs

_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4


@attrs.define
class GapEstimate:
    """Estimate of an engine's inter-token latency, in seconds.

    Smoothed mean and deviation with the gains of RFC 6298. The stall timeout
    adapts to an engine that is slow for all its streams.
    """

    mean: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, gap: float) -> None:
        """Add one inter-token latency sample."""
        if self.samples == 0:
            self.mean = gap
            self.deviation = gap / 2
        else:
            error = gap - self.mean
            self.deviation += _DEVIATION_GAIN * (abs(error) - self.deviation)
            self.mean += _MEAN_GAIN * error
        self.samples += 1

    def stall_timeout(
        self, factor: float, minimum: float, maximum: float
    ) -> float:
        """Return the stall timeout in seconds, within the bounds.

        ``maximum`` until there are enough samples.
        """
        if self.samples < 8:
            return maximum
        expected = self.mean + 4 * self.deviation
        return min(maximum, max(minimum, factor * expected))


class Action(enum.StrEnum):
    """Reaction to a stalled attempt."""

    WAIT = 'wait'
    HEDGE = 'reserve'
    REPLACE = 'replace'


@attrs.define
class WorkBudget:
    """Budget for the extra engine work of hedged attempts.

    :param share: extra tokens allowed per delivered token.
    :param floor: extra tokens always allowed; must cover concurrent hedges
        for all streams of one engine.
    """

    share: float
    floor: float = 20_000.0
    delivered: int = 0
    spent: float = 0.0

    def allows(self, tokens: float) -> bool:
        """Whether the budget covers that many extra tokens."""
        limit = self.floor + self.share * self.delivered
        return self.spent + tokens <= limit

    def spend(self, tokens: float) -> None:
        """Charge extra tokens to the budget."""
        self.spent += tokens

    def refund(self, tokens: float) -> None:
        """Return tokens of a hedge that turned out to be needed."""
        self.spent = max(0.0, self.spent - tokens)


class RecoveryPolicy(abc.ABC):
    """Decides how to react to a stalled attempt.

    A lost connection is replaced at once, without asking the policy.

    :param gap_factor: stall timeout as a multiple of the expected gap.
    :param min_gap_s: lower bound of the stall timeout, in seconds.
    :param max_gap_s: upper bound of the stall timeout, in seconds.
    :param first_token_s: stall timeout before the first token, in seconds.
    """

    def __init__(
        self,
        gap_factor: float,
        min_gap_s: float,
        max_gap_s: float,
        first_token_s: float,
        budget: WorkBudget,
    ) -> None:
        self.gap_factor = gap_factor
        self.min_gap_s = min_gap_s
        self.max_gap_s = max_gap_s
        self.first_token_s = first_token_s
        self.budget = budget

    def stall_timeout(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the stall timeout of an attempt, in seconds.

        :param started: whether the attempt has produced a token.
        """
        if not started:
            return self.first_token_s
        return gaps.stall_timeout(
            self.gap_factor, self.min_gap_s, self.max_gap_s
        )

    @abc.abstractmethod
    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the idle time, in seconds, at which to decide next."""

    @abc.abstractmethod
    def on_stall(
        self,
        idle_s: float,
        gaps: GapEstimate,
        *,
        started: bool,
        hedged: bool,
        cost: int,
    ) -> Action:
        """Decide about an attempt that has produced no token for a while.

        :param idle_s: seconds since the last token.
        :param hedged: whether a hedged attempt is already running.
        :param cost: tokens that an engine must process to take over.
        """


class SequentialPolicy(RecoveryPolicy):
    """Runs one attempt at a time and replaces it when it stalls."""

    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the stall timeout."""
        return self.stall_timeout(gaps, started=started)

    def on_stall(
        self,
        idle_s: float,
        gaps: GapEstimate,
        *,
        started: bool,
        hedged: bool,
        cost: int,
    ) -> Action:
        """Replace the attempt after the stall timeout."""
        del hedged, cost
        if idle_s >= self.stall_timeout(gaps, started=started):
            return Action.REPLACE
        return Action.WAIT


class HedgingPolicy(RecoveryPolicy):
    """Starts a hedged attempt before the first one times out.

    The attempt that delivers the next token first is kept. Hedging stops
    while the work budget is exhausted.
    """

    HEDGE_FRACTION: float = 0.4

    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the idle time after which a hedge is started."""
        return self.HEDGE_FRACTION * self.stall_timeout(gaps, started=started)

    def on_stall(
        self,
        idle_s: float,
        gaps: GapEstimate,
        *,
        started: bool,
        hedged: bool,
        cost: int,
    ) -> Action:
        """Hedge within the budget; replace after the stall timeout."""
        if idle_s >= self.stall_timeout(gaps, started=started):
            return Action.REPLACE
        hedge_after = self.check_after(gaps, started=started)
        if idle_s >= hedge_after and not hedged and self.budget.allows(cost):
            self.budget.spend(cost)
            return Action.HEDGE
        return Action.WAIT
