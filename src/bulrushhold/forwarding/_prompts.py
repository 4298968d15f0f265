"""Finds the engine that has read the prompt of a caller that comes back."""

import asyncio
import typing as t

from bulrushhold import errors
from bulrushhold.forwarding import _parts

# Engines tell what they keep within ms.
LOOKUP_TIMEOUT_S: t.Final = 0.1


async def find_prompt(
    context: _parts.Parts, job: _parts.Job, segment: str
) -> bool:
    """Ask engines for a prompt, and whether one of them has it.

    The caller's entry was lost, perhaps all entries, and with them who knew
    which engine has read the prompt. Reading it again would take the caller's
    time, and that of all who wait behind it.

    :param part: the prompt's last one.
    """
    candidates = context.placement.likely_keepers(
        job.service, segment, context.clock()
    )
    answers = await asyncio.gather(
        *(
            context.client.parts_kept(candidate.address, LOOKUP_TIMEOUT_S)
            for candidate in candidates
        ),
        return_exceptions=True,
    )
    holders = []
    for candidate, segments in zip(candidates, answers, strict=True):
        if isinstance(segments, errors.BackendError):
            _parts.log(
                job,
                'parts not told',
                engine=candidate.ident,
                reason=str(segments),
            )
        elif isinstance(segments, BaseException):
            raise segments
        elif segment in segments:
            holders.append(candidate)
    _parts.log(
        job,
        'prompt looked for',
        asked=len(candidates),
        found=[holder.ident for holder in holders],
    )
    if not holders:
        return False
    best = min(holders, key=lambda h: h.reading + h.others.reading)
    context.placement.read(segment, best.ident, context.clock())
    return True
