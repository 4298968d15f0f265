"""Queues a stream until it is admitted or rejected.

Admission control decides at this entry; where admission is ordered, so does
the service's scheduling home.
"""

import asyncio
import collections.abc as cabc
import contextlib
import math
import random

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _enginechooser
from bulrushhold.forwarding import _scheduling
from bulrushhold import messages


@attrs.frozen
class AdmissionResult:
    """The final decision of admission control.

    :param admitted: an engine can take the stream now.
    :param retry_after_s: delay after which a rejected caller may retry.
    :param engine: ident of the engine that the scheduling home has granted.
    :param ticket: identifies the stream at its scheduling home.
    :param interrupted: nothing was decided, as the scheduling home should.
    """

    admitted: bool
    retry_after_s: float
    engine: str = ''
    ticket: str = ''
    interrupted: bool = False


def _never() -> bool:
    return False


def is_admitted_now(
    context: _context.ForwardingContext,
    job: _context.Job,
    estimate: decisions.CapacityEstimate,
    *,
    waiting_since: float,
) -> bool:
    """Return whether a stream without events would be placed without a wait.

    :param estimate: of the engines that it may be sent to.
    :param waiting_since: when the caller started to wait for an event.
    """
    if not estimate.engines:
        return False
    admission, now = context.admission, context.clock()
    decision = admission.decide(
        estimate,
        waited_s=now - waiting_since,
        remaining_s=job.deadline - now,
        aim_s=job.route.aim_s,
        queue_s=0.0,
    )
    return decision is decisions.AdmissionDecision.PLACE and (
        admission.should_admit_now(
            job.service,
            estimate,
            context.budget.entries,
            now,
            random.random(),
        )
    )


async def wait_for_admission(
    context: _context.ForwardingContext,
    job: _context.Job,
    estimate_capacity: cabc.Callable[[], decisions.CapacityEstimate],
    *,
    waiting_since: float,
    begun: bool,
    interrupted: cabc.Callable[[], bool] = _never,
) -> AdmissionResult:
    """Wait until an engine can take a stream without delaying others.

    Where admission is ordered, only the first waiting stream may be placed.

    :param estimate_capacity: returns the current estimate for this stream.
    :param waiting_since: when the caller started to wait for an event.
    :param begun: the caller has already received events of the stream.
    :param interrupted: returns whether to stop waiting without a decision.
    """
    with contextlib.ExitStack() as stack:
        waiter = None
        if job.priority is not None and not begun:
            waiter = stack.enter_context(
                context.waiting_order.join(
                    job.service, job.priority, waiting_since
                )
            )
        return await _wait(
            context,
            job,
            estimate_capacity,
            waiting_since=waiting_since,
            begun=begun,
            interrupted=interrupted,
            waiter=waiter,
        )


async def _wait(
    context: _context.ForwardingContext,
    job: _context.Job,
    estimate_capacity: cabc.Callable[[], decisions.CapacityEstimate],
    *,
    waiting_since: float,
    begun: bool,
    interrupted: cabc.Callable[[], bool],
    waiter: decisions.Waiter | None,
) -> AdmissionResult:
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
                if waiter is not None:
                    # The first stream draws for all that wait here.
                    draw /= context.waiting_order.count(service)
                may_go = waiter is None or context.waiting_order.is_first(
                    service, waiter
                )
                if not may_go or not admission.should_admit_now(
                    service, estimate, entries, now, draw, begun=begun
                ):
                    outcome = decisions.AdmissionDecision.WAIT
            if outcome is not decisions.AdmissionDecision.WAIT:
                break
            if interrupted():
                return AdmissionResult(False, 0.0, interrupted=True)
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


async def wait_in_order(
    context: _context.ForwardingContext,
    job: _context.Job,
    engines: _enginechooser.EngineChooser,
    *,
    waiting_since: float,
    refusable: bool,
    ticket: str = '',
) -> AdmissionResult:
    """Wait for the decision on a stream whose admission is ordered.

    The scheduling home decides, or this entry's share of the engines while the
    home is unreachable. The stream is admitted by the entry's view of all
    engines while some are idle, if the share holds no engine that suits it,
    and if no engine is left that it may be sent to.

    :param waiting_since: when the caller started to wait for an event.
    :param refusable: no attempt may have run, so that the home may refuse the
        stream.
    :param ticket: of an earlier ask for the stream.
    """
    refused = committed = False
    unsuitable_until = -math.inf
    retry_pause_s = 0.0

    def decides_locally() -> bool:
        return (
            refused
            or context.clock() < unsuitable_until
            or context.scheduling.decides_locally(job.service, engines.memory)
            or not engines.available()
        )

    while True:
        if decides_locally():
            result = await wait_for_admission(
                context,
                job,
                engines.estimate_capacity,
                waiting_since=waiting_since,
                begun=False,
                interrupted=lambda: not decides_locally(),
            )
            if not result.interrupted:
                return result
        if job.deadline - context.clock() < _scheduling.MIN_REMAINING_S:
            return AdmissionResult(False, _context.RETRY_AFTER_S)
        ask = attrs.evolve(
            _make_ask(context, job, engines, waiting_since, ticket),
            committed=committed,
        )
        scheduled = await context.scheduling.request(ask)
        decision, ticket = scheduled.decision, scheduled.ticket
        if scheduled.queued_s is not None:
            committed = True
            _context.log(
                job,
                'stream queued',
                seconds=round(scheduled.queued_s, 3),
                outcome=decision.status.label,
                ticket=ticket,
                priority=job.priority,
            )
        if decision.status is messages.SchedulingStatus.GRANTED:
            return AdmissionResult(True, 0.0, decision.engine, ticket)
        if decision.status is messages.SchedulingStatus.REFUSED:
            if refusable:
                return AdmissionResult(
                    False, decision.retry_after_s, ticket=ticket
                )
            refused = True
        elif scheduled.unsuitable:
            unsuitable_until = context.clock() + _scheduling.FALLBACK_S
        else:
            # The home may have forgotten the stream in a restart, which isn't
            # expected to happen twice.
            await asyncio.sleep(retry_pause_s)
            retry_pause_s = decisions.ADMISSION_CHECK_S


def _make_ask(
    context: _context.ForwardingContext,
    job: _context.Job,
    engines: _enginechooser.EngineChooser,
    waiting_since: float,
    ticket: str,
) -> messages.StreamAsk:
    now = context.clock()
    assert job.priority is not None
    version, excluded = engines.constraints()
    return messages.StreamAsk(
        job.service,
        context.entry,
        ticket,
        job.fingerprint,
        job.priority,
        job.account,
        engines.tokens,
        engines.memory,
        round(waiting_since + engines.objective.aim_s - now, 3),
        round(job.deadline - now, 3),
        version,
        excluded,
    )
