"""Finds the engine that has read the prompt of a caller that comes back."""

import asyncio
import typing as t

from bulrushhold import errors
from bulrushhold.forwarding import _parts

# Engines tell what they keep within ms.
LOOK_S: t.Final = 0.1


async def find_prompt(
    context: _parts.Parts, job: _parts.Job, part: str
) -> bool:
    """Ask engines for a prompt, and whether one of them has it.

    The caller's entry was lost, perhaps all entries, and with them who knew
    which engine has read the prompt. Reading it again would take the caller's
    time, and that of all who wait behind it.

    :param part: the prompt's last one.
    """
    keepers = context.placement.likely_keepers(
        job.service, part, context.clock()
    )
    answers = await asyncio.gather(
        *(
            context.client.parts_kept(keeper.address, LOOK_S)
            for keeper in keepers
        ),
        return_exceptions=True,
    )
    holders = []
    for keeper, kept in zip(keepers, answers, strict=True):
        if isinstance(kept, errors.BackendError):
            _parts.log(
                job, 'parts not told', engine=keeper.ident, reason=str(kept)
            )
        elif isinstance(kept, BaseException):
            raise kept
        elif part in kept:
            holders.append(keeper)
    _parts.log(
        job,
        'prompt looked for',
        asked=len(keepers),
        found=[holder.ident for holder in holders],
    )
    if not holders:
        return False
    best = min(holders, key=lambda h: h.reading + h.others.reading)
    context.placement.read(part, best.ident, context.clock())
    return True
