"""Retry budget per client account."""

import typing as t

import attrs

RETRY_RATIO: t.Final = 0.2
RETRY_BURST: t.Final = 30.0


@attrs.define
class AccountRetryBudget:
    """Retries that each client account may still make.

    Each first attempt earns a fraction of a retry, up to a burst. If all
    engines fail, retries thus add only that fraction to an account's load.
    """

    ratio: float = RETRY_RATIO
    burst: float = RETRY_BURST
    remaining: dict[str, float] = attrs.field(factory=dict)

    def allows(self, account: str, former_attempts: int) -> bool:
        """Return whether a request may make another attempt."""
        if former_attempts == 0:
            return True
        return self.remaining.get(account, self.burst) >= 1

    def count(self, account: str, number: int) -> None:
        """Count attempt ``number`` of a request, starting at 1."""
        change = self.ratio if number == 1 else -1.0
        remaining = self.remaining.get(account, self.burst) + change
        self.remaining[account] = max(0.0, min(self.burst, remaining))
