"""Whether an engine that says nothing is dead, busy, or not to blame."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold import calls

# Engines answer a report within milliseconds, however busy they are.
ASKED_S: t.Final = 0.18
STEP_S: t.Final = 0.03
STEPS: t.Final = round(ASKED_S / STEP_S)
# On a lossy link the answer to a single question is often late.
SECOND_ASK_STEP: t.Final = STEPS // 3
MOST_ASK_S: t.Final = 2.0


async def is_alive(client: calls.BackendClient, address: str) -> bool:
    """Return whether an engine answers one of two questions.

    Counts steps instead of time. A process that is short of processor time
    reads its sockets late; by the clock it would take living engines for
    dead, and their streams would be read again elsewhere.
    """
    asked: set[asyncio.Future[bool]] = set()
    try:
        for step in range(STEPS):
            if step in (0, SECOND_ASK_STEP):
                ask = client.alive(address, MOST_ASK_S)
                asked.add(asyncio.ensure_future(ask))
            answers = await _next_answers(asked)
            if any(answer.result() for answer in answers):
                return True
            asked -= answers
            if not asked and step >= SECOND_ASK_STEP:
                return False
    finally:
        for ask in asked:
            ask.cancel()
    return False


async def _next_answers(
    asked: set['asyncio.Future[bool]'],
) -> set['asyncio.Future[bool]']:
    """Return the answers that come within one step."""
    if not asked:
        await asyncio.sleep(STEP_S)
        return set()
    answers, _ = await asyncio.wait(
        asked, timeout=STEP_S, return_when=asyncio.FIRST_COMPLETED
    )
    return answers


class Silence:
    """How long an engine has sent nothing while this process could read.

    A machine that stood still wakes with all its timers due, and with its
    engines' events unread in its sockets. Counted by the clock, the time it
    stood still would look like its engines' silence, and all of them would
    be left at once.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.seconds = 0.0

    @contextlib.contextmanager
    def counted(self, most_s: float) -> cabc.Iterator[None]:
        """Count the time that a wait takes, up to its timeout."""
        begun = self.clock()
        try:
            yield
        finally:
            self.seconds += min(self.clock() - begun, most_s)
