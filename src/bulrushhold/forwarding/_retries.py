"""Takes retries from the budget that all entries share."""

import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold import ports

BEGUN_PAUSE_S: t.Final = 0.1
GAUGE_INTERVAL_S: t.Final = 1.0


@attrs.frozen
class Retry:
    """A retry that the budget allows.

    :param taken_at: when it was counted.
    :param granted: by the home of the service, beyond the entry's own share.
    """

    taken_at: float
    granted: bool


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
) -> Retry | None:
    """Return a retry if a request may be sent once more, and count it.

    A stream that has begun waits for one until its deadline.
    """
    while True:
        retry = await take_now(context, job.service, priority)
        if retry is not None:
            return retry
        is_begun = priority is decisions.RetryPriority.BEGUN
        if not is_begun or context.clock() + BEGUN_PAUSE_S > job.deadline:
            _log_refusal(context, job, priority)
            return None
        await asyncio.sleep(BEGUN_PAUSE_S)


async def take_now(
    context: _context.ForwardingContext,
    service: str,
    priority: decisions.RetryPriority,
) -> Retry | None:
    """Return a retry if the budget allows one now, and count it."""
    now = context.clock()
    if context.budget.take(service, now, priority):
        context.metrics.count('retries.own', labels={'service': service})
        return Retry(now, granted=False)
    is_further = priority is decisions.RetryPriority.FURTHER
    if is_further or not await context.retry_pool.take(service, priority):
        return None
    now = context.clock()
    context.budget.count_granted(service, now)
    context.metrics.count('retries.granted', labels={'service': service})
    return Retry(now, granted=True)


def record_sent(
    context: _context.ForwardingContext, service: str, retry: Retry | None
) -> Retry | None:
    """Return the retry, counted as of now if its request has waited.

    Otherwise requests that wait together reach servers with others that are
    allowed as the first ones leave the window.
    """
    now = context.clock()
    if retry is None or now - retry.taken_at <= decisions.GRANT_TTL_S:
        return retry
    context.budget.record_delay(
        service, retry.taken_at, now, granted=retry.granted
    )
    if retry.granted:
        context.retry_pool.record_delay(service)
    return attrs.evolve(retry, taken_at=now)


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
                self.metrics.gauge(
                    f'retry_budget.{name}', value, {'service': service}
                )
