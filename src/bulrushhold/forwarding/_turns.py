"""Holds a stream at the gate until its turn has come."""

import asyncio
import collections.abc as cabc
import random

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _parts


@attrs.frozen
class Turn:
    """What the gate decided in the end.

    :param comes: an engine can take the stream now.
    :param retry_after_s: when its caller may try again, if none can.
    """

    comes: bool
    retry_after_s: float


async def wait_for_turn(
    parts: _parts.Parts,
    job: _parts.Job,
    look: cabc.Callable[[], decisions.Outlook],
    *,
    since: float,
    begun: bool,
) -> Turn:
    """Wait until an engine can take a stream without delay to others.

    :param look: at what engines could do for it.
    :param since: when its caller began to wait.
    :param begun: the caller has a part of it.
    """
    gate, service = parts.gate, job.service
    now = began = parts.clock()
    verdict = decisions.GateVerdict.WAIT
    gate.waiting[service] += 1
    try:
        while True:
            outlook = look()
            queue_s = gate.queue_s(service, outlook, parts.budget.entries, now)
            verdict = gate.judge(
                outlook,
                waited_s=now - since,
                left_s=job.end - now,
                aim_s=job.route.aim_s,
                queue_s=queue_s,
                arrives=now == began,
                begun=begun,
            )
            if verdict is decisions.GateVerdict.PLACE and not gate.goes_now(
                service, outlook, parts.budget.entries, now, random.random()
            ):
                verdict = decisions.GateVerdict.WAIT
            if verdict is not decisions.GateVerdict.WAIT:
                break
            if now == began:
                parts.placement.on_news()
            gate.held(now)
            await asyncio.sleep(
                decisions.GATE_CHECK_S * (0.5 + random.random())
            )
            now = parts.clock()
    finally:
        gate.waiting[service] -= 1
    if now > began:
        _parts.log(
            job,
            'stream held',
            seconds=round(now - began, 3),
            verdict=verdict.value,
            first_s=round(outlook.first_s, 2),
            engines=outlook.engines,
            waiting=gate.waiting[service],
        )
    comes = verdict is decisions.GateVerdict.PLACE
    return Turn(comes, decisions.retry_after_s(queue_s))
