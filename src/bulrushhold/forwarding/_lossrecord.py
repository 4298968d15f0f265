"""Finds out how an engine was lost, and records it."""

import asyncio

from bulrushhold import decisions
from bulrushhold.forwarding import _blocks
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _liveness
from bulrushhold.forwarding import _streamloss


async def check_reachable(
    context: _context.ForwardingContext,
    engine: decisions.BackendServer,
    lost: _streamloss.StreamLostError,
) -> None:
    """Check whether an engine that broke the connection is alive.

    A crashed engine refuses connections, or another instance has its
    address. A live one still serves other streams and holds copies, and
    must not be marked as lost.
    """
    if not lost.reset:
        return
    timeout_s = _liveness.PROBE_TIMEOUT_S
    alive, ended = await asyncio.gather(
        context.client.probe(engine.address, timeout_s, engine.ident),
        context.client.has_ended(engine.address, timeout_s, engine.ident),
    )
    lost.unreachable = not alive
    lost.silent = not (alive or ended)


def record_loss(
    context: _context.ForwardingContext,
    job: _context.Job,
    engine: decisions.BackendServer,
    lost: _streamloss.StreamLostError,
    last_event_id: int | None,
) -> None:
    """Record and log the loss of a stream's engine."""
    now = context.clock()
    if not lost.cut_off:
        context.placement.record_failure(
            engine.ident, now, unreachable=lost.unreachable
        )
    context.metrics.count('engines.lost')
    if lost.silent:
        context.placement.record_silence(engine.ident, now)
        context.metrics.count('engines.silent')
    is_suspect = context.placement.verification.is_suspect(engine.ident)
    if lost.crashed or ((lost.reset or lost.silent) and not is_suspect):
        _blocks.record_broken_off(
            context,
            job,
            engine.ident,
            lost.seconds,
            crashed=lost.crashed,
            silent=lost.silent and not lost.reset,
        )
    _context.log(
        job,
        'engine lost',
        engine=engine.ident,
        reason=str(lost),
        last=last_event_id,
        gone=lost.unreachable,
        silent=lost.silent,
        fingerprint=job.fingerprint,
    )
