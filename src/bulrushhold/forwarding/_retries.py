"""Takes retries from the budget that all entries share."""

import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold import ports

# Longest wait of a stream that has begun: a home is replaced within it.
MAX_BEGUN_WAIT_S: t.Final = 2.5
BEGUN_PAUSE_S: t.Final = 0.1
GAUGE_INTERVAL_S: t.Final = 1.0


def priority(
    job: _context.Job, rejections: int, *, begun: bool = False
) -> decisions.RetryPriority:
    """Return what the next retry of a request is worth.

    A request that was often rejected must not spend what many others need for
    their first retry.

    :param rejections: how many servers refused to run it.
    :param begun: the caller has received some events.
    """
    if begun:
        return decisions.RetryPriority.BEGUN
    if rejections < job.route.max_attempts:
        return decisions.RetryPriority.OTHER_SERVER
    return decisions.RetryPriority.FURTHER


async def take(
    context: _context.ForwardingContext,
    job: _context.Job,
    priority: decisions.RetryPriority,
) -> bool:
    """Return whether a request may be sent once more, and count it if so."""
    give_up_at = min(job.deadline, context.clock() + MAX_BEGUN_WAIT_S)
    while not await _take_now(context, job.service, priority):
        is_begun = priority is decisions.RetryPriority.BEGUN
        if not is_begun or context.clock() + BEGUN_PAUSE_S > give_up_at:
            _log_refusal(context, job, priority)
            return False
        await asyncio.sleep(BEGUN_PAUSE_S)
    return True


async def _take_now(
    context: _context.ForwardingContext,
    service: str,
    priority: decisions.RetryPriority,
) -> bool:
    if context.budget.take(service, context.clock(), priority):
        context.metrics.count(f'retries.own.{service}')
        return True
    is_further = priority is decisions.RetryPriority.FURTHER
    if is_further or not await context.retry_pool.take(service, priority):
        return False
    context.budget.count_granted(service, context.clock())
    context.metrics.count(f'retries.granted.{service}')
    return True


def _log_refusal(
    context: _context.ForwardingContext,
    job: _context.Job,
    priority: decisions.RetryPriority,
) -> None:
    context.metrics.count('repeats.refused')
    usage = context.budget.usage(job.service, context.clock())
    _context.log(
        job,
        'retry budget exhausted',
        service=job.service,
        priority=priority.name.lower(),
        **attrs.asdict(usage),
    )


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
        for service in list(self.budget.requests.by_service):
            usage = self.budget.usage(service, now)
            for name, value in (
                ('used', usage.used),
                ('allowed', usage.allowed),
                ('own_used', usage.own_used),
                ('own_allowed', usage.own_allowed),
                ('granted', usage.granted),
            ):
                self.metrics.gauge(f'retry_budget_{name}.{service}', value)
