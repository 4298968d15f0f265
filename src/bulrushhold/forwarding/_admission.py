"""Queues a stream until admission control admits or rejects it."""

import asyncio
import collections.abc as cabc
import random

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context


@attrs.frozen
class AdmissionResult:
    """The final decision of admission control.

    :param admitted: an engine can take the stream now.
    :param retry_after_s: delay after which a rejected caller may retry.
    """

    admitted: bool
    retry_after_s: float


async def wait_for_admission(
    context: _context.ForwardingContext,
    job: _context.Job,
    estimate_capacity: cabc.Callable[[], decisions.CapacityEstimate],
    *,
    waiting_since: float,
    begun: bool,
) -> AdmissionResult:
    """Wait until an engine can take a stream without delaying others.

    :param estimate_capacity: returns the current estimate for this stream.
    :param waiting_since: when the caller started to wait for an event.
    :param begun: the caller has already received events of the stream.
    """
    admission, service = context.admission, job.service
    now = started = context.clock()
    outcome = decisions.AdmissionDecision.WAIT
    admission.waiting[service] += 1
    try:
        while True:
            estimate = estimate_capacity()
            entries = context.budget.entries
            queue_s = admission.queue_s(service, estimate, entries, now)
            outcome = admission.decide(
                estimate,
                waited_s=now - waiting_since,
                remaining_s=job.deadline - now,
                aim_s=job.route.aim_s,
                queue_s=queue_s,
                first_check=now == started,
                begun=begun,
            )
            if outcome is decisions.AdmissionDecision.PLACE:
                draw = random.random()
                if not admission.should_admit_now(
                    service, estimate, entries, now, draw, begun=begun
                ):
                    outcome = decisions.AdmissionDecision.WAIT
            if outcome is not decisions.AdmissionDecision.WAIT:
                break
            if now == started:
                context.placement.on_load_change()
            admission.record_wait(now)
            await asyncio.sleep(
                decisions.ADMISSION_CHECK_S * (0.5 + random.random())
            )
            now = context.clock()
    finally:
        admission.waiting[service] -= 1
    if now > started:
        _context.log(
            job,
            'stream queued',
            seconds=round(now - started, 3),
            outcome=outcome.value,
            first_s=round(estimate.first_event_s, 2),
            engines=estimate.engines,
            waiting=admission.waiting[service],
        )
    admitted = outcome is decisions.AdmissionDecision.PLACE
    return AdmissionResult(admitted, decisions.retry_after_s(queue_s))
