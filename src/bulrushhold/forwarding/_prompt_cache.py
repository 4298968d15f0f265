"""Finds the engine that has a resuming caller's prompt cached."""

import asyncio
import typing as t

from bulrushhold import errors
from bulrushhold.forwarding import _context

LOOKUP_TIMEOUT_S: t.Final = 0.1


async def find_cached_prompt(
    context: _context.ForwardingContext, job: _context.Job, segment: str
) -> bool:
    """Return whether an engine has a prompt cached, and record which.

    After the loss of an entry the others don't know where its prompts are
    cached. A lookup saves prefilling such a prompt again.

    :param segment: name of the prompt's last segment.
    """
    candidates = context.placement.likely_cache_holders(
        job.service, segment, context.clock(), job.version
    )
    results = await asyncio.gather(
        *(
            context.client.cached_segments(candidate.address, LOOKUP_TIMEOUT_S)
            for candidate in candidates
        ),
        return_exceptions=True,
    )
    holders = []
    for candidate, segments in zip(candidates, results, strict=True):
        if isinstance(segments, errors.BackendError):
            _context.log(
                job,
                'cached segments unknown',
                engine=candidate.ident,
                reason=str(segments),
            )
        elif isinstance(segments, BaseException):
            raise segments
        elif segment in segments:
            holders.append(candidate)
    _context.log(
        job,
        'prompt cache lookup',
        asked=len(candidates),
        found=[holder.ident for holder in holders],
    )
    if not holders:
        return False
    best = min(holders, key=lambda h: h.reading + h.remote_load.reading)
    context.placement.cached_prompts.record_read(
        segment, best.ident, context.clock()
    )
    return True
