"""Drive a rollout: the target's share of requests, and when it ends.

The share stays within the exposure allowed for a bad version until the end,
since a version may turn bad late. Success is declared shortly before the time
limit, since the other engines stop at that moment.
"""

import typing as t

import attrs

from bulrushhold.decisions import _rolloutanalysis
from bulrushhold import messages

# Part of the allowed share that is used: the rest covers requests between a
# success and the time limit, should the version be bad after all.
SHARE_MARGIN: t.Final = 0.7
# The target's share until a part of the fixed allowance is used, to gather
# evidence early.
FIRST_SHARE: t.Final = 0.4
FIRST_SLACK_SHARE: t.Final = 0.4
# Exposure at which the target gets nothing more: the rest covers requests that
# entries have not reported yet.
MAX_USED_SHARE: t.Final = 0.85
# Time left when a rollout ends, for the commit and the operator's reads.
END_MARGIN_S: t.Final = 0.7
END_MARGIN_SHARE: t.Final = 0.06
# Right before the end, all requests go to the target, so that none is running
# on the other engines as they stop.
SWITCH_LEAD_S: t.Final = 0.5
# Share of the other engines that the target needs to take over.
MIN_TARGET_ENGINES: t.Final = 0.5
# Suspicion above which a rollout isn't declared successful.
MAX_SUSPICION: t.Final = 0.8


@attrs.frozen
class ExposureLimits:
    """What a bad version may get while its rollout is running.

    :param share: share of the requests for its service.
    :param slack: further requests.
    """

    share: float
    slack: int


DEFAULT_EXPOSURE: t.Final = ExposureLimits(0.1, 50)


@attrs.frozen
class Step:
    """Decision of the driver.

    :param state: the state to be committed.
    :param reason: why the rollout ends, or ``''``.
    """

    state: messages.RolloutState
    share: float
    reason: str = ''


class RolloutDriver:
    """Drives one running rollout."""

    def __init__(
        self, rollout: messages.Rollout, limits: ExposureLimits
    ) -> None:
        self.rollout = rollout
        self.limits = limits
        self.analysis = _rolloutanalysis.RolloutAnalysis()
        self.margin_s = min(
            END_MARGIN_S, END_MARGIN_SHARE * rollout.duration_s
        )
        self.end_s = rollout.duration_s - self.margin_s

    def step(
        self,
        elapsed_s: float,
        evidence: messages.RolloutEvidence,
        target_engines: int,
        other_engines: int,
    ) -> Step:
        """Return what to do at a time after the order.

        :param evidence: of all entries, added up.
        """
        verdict = self.analysis.update(evidence, elapsed_s)
        if verdict.bad:
            return self._end(messages.RolloutState.ROLLED_BACK, verdict.reason)
        if elapsed_s >= self.end_s:
            return self._decide_at_end(
                verdict, evidence, target_engines, other_engines
            )
        switching = (
            self.end_s - elapsed_s <= SWITCH_LEAD_S
            and self._can_switch(elapsed_s, evidence)
        )
        share = 1.0 if switching else self._share(evidence)
        return Step(messages.RolloutState.RUNNING, share)

    def _decide_at_end(
        self,
        verdict: _rolloutanalysis.Verdict,
        evidence: messages.RolloutEvidence,
        target_engines: int,
        other_engines: int,
    ) -> Step:
        if target_engines < max(1, MIN_TARGET_ENGINES * other_engines):
            return self._end(
                messages.RolloutState.ROLLED_BACK,
                f'{target_engines} engines can not replace {other_engines}',
            )
        if not any(sample.engine for sample in evidence.samples):
            # Without traffic, or with no report of it, success might stop
            # all engines that work.
            return self._end(
                messages.RolloutState.ROLLED_BACK,
                'no response of the target was seen',
            )
        if verdict.suspicion > MAX_SUSPICION:
            return self._end(
                messages.RolloutState.ROLLED_BACK,
                f'failures at {verdict.suspicion:.2f} of the alarm threshold',
            )
        return self._end(
            messages.RolloutState.SUCCEEDED,
            f'no fault in {evidence.exposed} of {evidence.received} requests',
        )

    def _end(self, state: messages.RolloutState, reason: str) -> Step:
        return Step(state, 0.0, reason)

    def _share(self, evidence: messages.RolloutEvidence) -> float:
        allowed = self._allowed(evidence)
        if evidence.exposed >= MAX_USED_SHARE * allowed:
            return 0.0
        if evidence.exposed < FIRST_SLACK_SHARE * self.limits.slack:
            return max(FIRST_SHARE, SHARE_MARGIN * self.limits.share)
        return SHARE_MARGIN * self.limits.share

    def _allowed(self, evidence: messages.RolloutEvidence) -> float:
        return self.limits.share * evidence.received + self.limits.slack

    def _can_switch(
        self, elapsed_s: float, evidence: messages.RolloutEvidence
    ) -> bool:
        """Return whether the exposure allows all requests until the limit."""
        rate_per_s = evidence.received / max(SWITCH_LEAD_S, elapsed_s)
        requests = rate_per_s * (SWITCH_LEAD_S + self.margin_s)
        allowed = MAX_USED_SHARE * self._allowed(evidence)
        return evidence.exposed + requests < allowed
