"""Takes retries from the budget that all entries share."""

import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold import ports

GAUGE_INTERVAL_S: t.Final = 1.0


def take(
    context: _context.ForwardingContext,
    job: _context.Job,
    *,
    begun: bool = False,
) -> bool:
    """Return whether a request may be sent once more, and count it if so.

    :param begun: the caller has received some events.
    """
    now = context.clock()
    usage = context.budget.usage(job.service, now)
    if context.budget.take(job.service, now, begun=begun):
        is_own = usage.own_used + 1 <= usage.own_allowed
        kind = 'own' if is_own else 'shared'
        context.metrics.count(f'retries.{kind}.{job.service}')
        return True
    context.metrics.count('repeats.refused')
    _context.log(
        job,
        'retry budget exhausted',
        service=job.service,
        begun=begun,
        **attrs.asdict(usage),
    )
    return False


class RetryGauges:
    """Sets the used share of each service's retry budget."""

    def __init__(
        self,
        budget: decisions.ServiceRetryBudget,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.budget = budget
        self.metrics = metrics
        self.clock = clock
        self.updated_at = float('-inf')

    def update(self) -> None:
        """Set all gauges, at most once in each interval."""
        now = self.clock()
        if now - self.updated_at < GAUGE_INTERVAL_S:
            return
        self.updated_at = now
        for service in list(self.budget.request_times):
            usage = self.budget.usage(service, now)
            for name, value in (
                ('retries_used', usage.used),
                ('retries_allowed', usage.allowed),
                ('retries_own_used', usage.own_used),
                ('retries_own_allowed', usage.own_allowed),
            ):
                self.metrics.gauge(f'{name}.{service}', value)
