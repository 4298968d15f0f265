"""A budget that keeps retries from multiplying an overload."""

import typing as t

import attrs

RETRY_SHARE: t.Final = 0.2
RETRY_BURST: t.Final = 30.0


@attrs.define
class RetryBudget:
    """Further attempts that each client account may still make.

    Every first attempt earns a share of a further one, up to a burst.
    When engines fail all over, each account's retries thus add a fifth
    to its load at most, instead of a multiple.
    """

    share: float = RETRY_SHARE
    burst: float = RETRY_BURST
    left: dict[str, float] = attrs.field(factory=dict)

    def allows(self, account: str, former_attempts: int) -> bool:
        """Whether a request may make another attempt."""
        if former_attempts == 0:
            return True
        return self.left.get(account, self.burst) >= 1

    def count(self, account: str, number: int) -> None:
        """Count attempt ``number`` of a request, from 1."""
        change = self.share if number == 1 else -1.0
        left = self.left.get(account, self.burst) + change
        self.left[account] = max(0.0, min(self.burst, left))
