"""What every run of an opaque request uses."""

import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

# After this time a caller may come back: a server that crashed is back, or
# has been taken off the list, within a few seconds; engines work off a full
# queue at some requests a second.
RETRY_AFTER_S: t.Final = 0.5


@attrs.frozen
class Parts:
    """Parts shared by all runs of one entry."""

    placement: decisions.Placement
    client: calls.BackendClient
    budget: decisions.RepeatBudget
    metrics: ports.Metrics
    crashers: decisions.Crashers
    admission: decisions.AdmissionController
    clock: cabc.Callable[[], float] = time.monotonic


@attrs.frozen
class Job:
    """One accepted request and where it is to go.

    :param end: when its time is over, by the parts' clock.
    :param fingerprint: the same for all repetitions of the request.
    """

    call: calls.Call
    route: routes.Route
    service: str
    account: str
    deadline: float
    fingerprint: str = ''


def log(job: Job, decision: str, **fields: t.Any) -> None:
    """Log one decision on a request."""
    node.log_decision(
        decision, request=job.call.ident, route=job.route.name, **fields
    )


def not_run_error(
    job: Job, reason: str, retry_after_s: float = RETRY_AFTER_S
) -> errors.RequestError:
    """Return the refusal of a request that ran nowhere."""
    return errors.RequestError(
        reason,
        'forward',
        job.service,
        ran=errors.Ran.NO,
        status=503,
        retry_after=retry_after_s,
    )


def unknown_outcome_error(
    job: Job, reason: str, peer: str, *, late: bool = False
) -> errors.RequestError:
    """Return the failure of a request that may have run."""
    return errors.RequestError(
        reason,
        'forward',
        peer,
        ran=errors.Ran.UNKNOWN,
        status=504 if late else 502,
    )


def record_load(context: Parts, ident: str, head: calls.AnswerHead) -> None:
    """Take what an answer tells of its server's load."""
    if head.load is not None:
        context.placement.reported(
            ident, head.load.running, head.load.waiting, context.clock()
        )
