"""Logs and counts the verdicts on requests under which engines crashed."""

import collections.abc as cabc
import typing as t

from bulrushhold import decisions
from bulrushhold import node
from bulrushhold import ports

_METRICS: t.Final = {
    decisions.Verdict.COUNTED: 'crashes.counted',
    decisions.Verdict.SET_ASIDE: 'crashes.set_aside',
    decisions.Verdict.BLOCKED: 'requests.blocked',
    decisions.Verdict.CLEARED: 'requests.cleared',
}


def make_crash_listener(
    metrics: ports.Metrics,
) -> cabc.Callable[[decisions.CrashVerdict], None]:
    """Return a listener that logs and counts each verdict."""

    def record(verdict: decisions.CrashVerdict) -> None:
        metrics.count(_METRICS[verdict.verdict])
        node.log_decision(
            verdict.verdict.value,
            fingerprint=verdict.fingerprint,
            engine=verdict.engine,
            crashes=verdict.crashes,
            nearby_losses=verdict.nearby_losses,
            reported=verdict.reported,
            engines=list(verdict.engines),
            blocked_s=round(verdict.blocked_s, 1),
        )

    return record
