"""An asyncio event loop on emulated time.

When no callback is ready, the clock advances to the next timer without
waiting. There is no I/O, so runs with the same seed are identical.
"""

import asyncio
import collections.abc as cabc
import selectors
import typing as t

T = t.TypeVar('T')


class _EmulatedTimeSelector(selectors.SelectSelector):
    """Advances the clock by the timeout instead of waiting for I/O."""

    now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                'deadlock: no task is ready and no timer is set'
            )
        self.now += max(0.0, timeout)
        return []


class EmulatedLoop(asyncio.SelectorEventLoop):
    """Event loop on emulated time, which starts at 0 seconds."""

    def __init__(self) -> None:
        self.time_selector = _EmulatedTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return the emulated time in seconds."""
        return self.time_selector.now


def run(main: cabc.Coroutine[t.Any, t.Any, T]) -> T:
    """Run a coroutine to completion on emulated time."""
    with asyncio.Runner(loop_factory=EmulatedLoop) as runner:
        return runner.run(main)
