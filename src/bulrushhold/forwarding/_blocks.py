"""Records crashes under requests, refuses and delays those requests."""

import asyncio
import typing as t

from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _running

# Until the crashes that other entries saw are known here.
CRASH_REPORT_S: t.Final = 0.1
MAX_REPORT_AIM_SHARE: t.Final = 0.1
# Time that the request which is tried again may need.
PROBATION_RETRY_S: t.Final = 2.0


def refuse_blocked(
    context: _context.ForwardingContext, fingerprint: str, service: str
) -> None:
    """Refuse a request that is blocked.

    :raises RequestError: with the time until the block ends.
    """
    seconds = context.poison_requests.remaining_block_s(
        fingerprint, context.clock()
    )
    if seconds:
        raise errors.RequestError(
            _running.REASON,
            'accept',
            service,
            status=503,
            retry_after=seconds,
        )
    if context.running.requests.get(
        fingerprint
    ) and context.poison_requests.is_on_probation(
        fingerprint, context.clock()
    ):
        raise errors.RequestError(
            'engines crashed on this request, and one is tried again',
            'accept',
            service,
            status=503,
            retry_after=PROBATION_RETRY_S,
        )


async def wait_for_crash_reports(job: _context.Job) -> None:
    """Let the reports of others arrive before a retry.

    Otherwise each caller of a poison request would crash an engine more.
    """
    aim_s = job.route.aim_s or job.route.timeout_s
    await asyncio.sleep(min(CRASH_REPORT_S, aim_s * MAX_REPORT_AIM_SHARE))


def record_broken_off(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    run_s: float,
    *,
    crashed: bool,
    silent: bool = False,
) -> None:
    """Record that a server broke a request off.

    :param run_s: seconds since the request was sent to it.
    :param crashed: the server is known to have crashed.
    :param silent: it closed no connection, but doesn't answer.
    """
    detector, now = context.poison_requests, context.clock()
    if crashed:
        detector.record_crash(job.fingerprint, ident, now, run_s)
    else:
        detector.record_reset(
            job.fingerprint, ident, now, run_s, silent=silent
        )
