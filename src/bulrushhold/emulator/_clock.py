"""An event loop whose time passes at once.

Nothing outside takes part: whenever no callback is ready, the clock jumps to
the next timer. A minute of an emulated system takes seconds, and the same
seed gives the same run.
"""

import asyncio
import collections.abc as cabc
import selectors
import typing as t

T = t.TypeVar('T')


class _EmulatedTimeSelector(selectors.SelectSelector):
    """Lets no time pass but by moving the clock."""

    now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('all tasks wait for each other')
        self.now += max(0.0, timeout)
        return []


class EmulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on emulated time, from 0 seconds on."""

    def __init__(self) -> None:
        self.time_selector = _EmulatedTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return emulated seconds."""
        return self.time_selector.now


def run(main: cabc.Coroutine[t.Any, t.Any, T]) -> T:
    """Run a coroutine to its end on emulated time."""
    with asyncio.Runner(loop_factory=EmulatedLoop) as runner:
        return runner.run(main)
