"""When an engine's silence counts as a loss, and what follows."""

import abc
import enum

import attrs

_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4


@attrs.define
class GapEstimate:
    """Recent gaps between tokens of one engine, in seconds.

    Smoothed mean and deviation, with the gains of RFC 6298. An engine
    that is slow for all its streams has a long estimate, and so isn't
    taken for dead.
    """

    mean: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, gap: float) -> None:
        """Take in one gap."""
        if self.samples == 0:
            self.mean = gap
            self.deviation = gap / 2
        else:
            error = gap - self.mean
            self.deviation += _DEVIATION_GAIN * (abs(error) - self.deviation)
            self.mean += _MEAN_GAIN * error
        self.samples += 1

    def limit(self, factor: float, minimum: float, maximum: float) -> float:
        """Return the silence, in seconds, after which to act."""
        if self.samples < 8:
            return maximum
        expected = self.mean + 4 * self.deviation
        return min(maximum, max(minimum, factor * expected))


class Action(enum.StrEnum):
    """What to do about an attempt that is silent."""

    WAIT = 'wait'
    RESERVE = 'reserve'
    REPLACE = 'replace'


@attrs.define
class WorkBudget:
    """Bounds engine work on attempts that turn out not to be needed.

    :param share: extra tokens allowed, per token delivered.
    :param floor: extra tokens allowed besides; it must cover the reserves
        of all streams of one engine, which are under way at once.
    """

    share: float
    floor: float = 20_000.0
    delivered: int = 0
    spent: float = 0.0

    def allows(self, tokens: float) -> bool:
        """Whether that many extra tokens may be spent."""
        limit = self.floor + self.share * self.delivered
        return self.spent + tokens <= limit

    def spend(self, tokens: float) -> None:
        """Count extra tokens."""
        self.spent += tokens

    def refund(self, tokens: float) -> None:
        """Take back tokens that a loss would have cost anyway."""
        self.spent = max(0.0, self.spent - tokens)


class RecoveryPolicy(abc.ABC):
    """Decides about silence; lost connections need no decision.

    :param gap_factor: times the expected gap is the silence of a loss.
    :param min_gap_s: least silence of a loss, in seconds.
    :param max_gap_s: most silence that is waited through, in seconds.
    :param first_token_s: the same before the first token, in seconds.
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

    def loss_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the silence, in seconds, that counts as a loss.

        :param started: whether the attempt has sent a token.
        """
        if not started:
            return self.first_token_s
        return gaps.limit(self.gap_factor, self.min_gap_s, self.max_gap_s)

    @abc.abstractmethod
    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the silence, in seconds, after which to ask again."""

    @abc.abstractmethod
    def on_silence(
        self,
        silence: float,
        gaps: GapEstimate,
        *,
        started: bool,
        reserve: bool,
        cost: int,
    ) -> Action:
        """Decide about a silent attempt.

        :param reserve: whether a second attempt already runs.
        :param cost: tokens an engine works to take the answer over.
        """


class ThriftyPolicy(RecoveryPolicy):
    """Waits longer and runs one attempt at a time."""

    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return the silence that counts as a loss."""
        return self.loss_after(gaps, started=started)

    def on_silence(
        self,
        silence: float,
        gaps: GapEstimate,
        *,
        started: bool,
        reserve: bool,
        cost: int,
    ) -> Action:
        """Replace the attempt once its silence counts as a loss."""
        del reserve, cost
        if silence >= self.loss_after(gaps, started=started):
            return Action.REPLACE
        return Action.WAIT


class PromptPolicy(RecoveryPolicy):
    """Starts a second attempt early, while the first may yet go on.

    Whichever delivers the next token first is kept. The extra work is
    bounded by the budget; without it, this policy is the thrifty one.
    """

    HEDGE_FRACTION: float = 0.4

    def check_after(self, gaps: GapEstimate, *, started: bool) -> float:
        """Return a part of the silence that counts as a loss."""
        return self.HEDGE_FRACTION * self.loss_after(gaps, started=started)

    def on_silence(
        self,
        silence: float,
        gaps: GapEstimate,
        *,
        started: bool,
        reserve: bool,
        cost: int,
    ) -> Action:
        """Reserve early, within the budget; replace at the loss."""
        if silence >= self.loss_after(gaps, started=started):
            return Action.REPLACE
        hedge_after = self.check_after(gaps, started=started)
        if silence >= hedge_after and not reserve and self.budget.allows(cost):
            self.budget.spend(cost)
            return Action.RESERVE
        return Action.WAIT
