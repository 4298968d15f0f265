"""Whether an engine that says nothing is dead, busy, or not to blame."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from bulrushhold import calls

# Many times the way there and back: a report needs no place in the engine's
# batch, so that a busy one answers as soon as an idle one.
ASK_S: t.Final = 0.12
# Asked twice, the second time half of that later.
ASKED_S: t.Final = 1.5 * ASK_S


async def is_alive(client: calls.BackendClient, address: str) -> bool:
    """Whether an engine answers, asked twice half of a wait apart.

    On a link that loses one packet in 25, a fifth of the answers to a single
    question come too late, and a living engine would be given up by all.
    """

    async def ask_again() -> bool:
        await asyncio.sleep(ASK_S / 2)
        return await client.alive(address, ASK_S)

    asked = [
        asyncio.ensure_future(client.alive(address, ASK_S)),
        asyncio.ensure_future(ask_again()),
    ]
    try:
        for answer in asyncio.as_completed(asked):
            if await answer:
                return True
    finally:
        for ask in asked:
            ask.cancel()
    return False


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
