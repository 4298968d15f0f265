"""Limits that the next attempt of a generation must keep."""

import typing as t

from bulrushhold import decisions
from bulrushhold.entry import _crashprobes
from bulrushhold.entry import _generation
from bulrushhold.entry import _quarantine
from bulrushhold import errors

RETRY_AFTER_S: t.Final = 2.0


class AttemptLimits:
    """Quarantine, number of attempts and retry budget.

    :param max_attempts: attempts of one generation, except those that were
        left as stalled after they had brought tokens.
    """

    def __init__(
        self,
        max_attempts: int,
        quarantine: _quarantine.Quarantine,
        retries: decisions.AccountRetryBudget,
    ) -> None:
        self.max_attempts = max_attempts
        self.quarantine = quarantine
        self.retries = retries

    def refusal(
        self, generation: _generation.Generation
    ) -> errors.RequestError | None:
        """Return why no further attempt is allowed, if none is."""
        spec, last = generation.spec, generation.transcript.last_attempt
        if self.quarantine.is_quarantined(spec.fingerprint):
            return make_refusal(
                generation,
                _crashprobes.QUARANTINE_REASON,
                status=422,
                retry=None,
            )
        if last - generation.stalled_attempts >= self.max_attempts:
            return make_refusal(generation, 'too many attempts have failed')
        if not self.retries.allows(spec.account, last):
            return make_refusal(
                generation, 'the retry budget of the account is exhausted'
            )
        return None


def make_refusal(
    generation: _generation.Generation,
    reason: str,
    status: int = 503,
    retry: float | None = RETRY_AFTER_S,
) -> errors.RequestError:
    """Return the error of a generation that gets no further attempt."""
    ran = (
        errors.Ran.YES if generation.transcript.last_attempt else errors.Ran.NO
    )
    return errors.RequestError(
        reason, 'generation', '', ran=ran, status=status, retry_after=retry
    )
