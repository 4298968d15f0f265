"""Tests of the retry budget of a service that all entries share."""

import pytest

from bulrushhold import decisions
from bulrushhold import messages

SERVICE = 'desk'
RATIO, ALLOWANCE, WINDOW_S = 0.8, 150, 10.0


def share_loads(budgets, now):
    """Tell each entry what all others have used, without any delay."""
    for budget in budgets:
        others = [
            other.traffic(now).get(SERVICE, messages.ServiceTraffic(0, 0))
            for other in budgets
            if other is not budget
        ]
        total = messages.ServiceTraffic(
            sum(o.firsts for o in others), sum(o.repeats for o in others)
        )
        budget.apply_loads({SERVICE: total}, now)


@pytest.mark.parametrize('entries', [9, 30, 300])
def test_what_one_entry_has_borrowed_is_not_spent_again(entries):
    # Guards against entries that use their own share after others did.
    budgets = [
        decisions.ServiceRetryBudget(RATIO, ALLOWANCE, WINDOW_S)
        for _ in range(entries)
    ]
    for budget in budgets:
        budget.entries = entries
        for _ in range(2):
            budget.count_request(SERVICE, 0.0)
    allowed = RATIO * 2 * entries + ALLOWANCE
    taken = 0
    for budget in budgets:
        share_loads(budgets, 1.0)
        taken += sum(budget.take(SERVICE, 1.0) for _ in range(300))
    assert taken <= allowed
