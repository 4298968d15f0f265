"""Reports how much of this entry's capacity is used."""

import asyncio
import collections.abc as cabc
import os
import pathlib
import time
import typing as t

from bulrushhold import decisions
from bulrushhold.forwarding import _fleet
from bulrushhold import node
from bulrushhold import ports

CHECK_INTERVAL_S: t.Final = 0.5
_OPEN_FILES: t.Final = pathlib.Path('/proc/self/fd')


class EntryLoadMonitor:
    """Lowers the weight of an overloaded entry.

    Only where entries differ in capacity: elsewhere, callers are spread
    evenly.

    :param cpu_share: share of a core that the process may use; 0 if unknown.
    :param max_files: file descriptors of the process; 0 if unknown.
    :param buffer_share: returns the share of the buffers that is used.
    """

    def __init__(
        self,
        fleet: _fleet.FleetView,
        cpu_share: float,
        max_files: int,
        buffer_share: cabc.Callable[[], float],
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
        cpu_clock: cabc.Callable[[], float] = time.process_time,
    ) -> None:
        self.fleet = fleet
        self.cpu_share = cpu_share
        self.max_files = max_files
        self.buffer_share = buffer_share
        self.metrics = metrics
        self.clock = clock
        self.cpu_clock = cpu_clock
        self.factor = decisions.LoadFactor()
        self.checked_at = clock()
        self.cpu_s = cpu_clock()

    async def watch(self) -> None:
        """Check the load forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Update this entry's weight from its present load."""
        utilization = self._utilization()
        entry = self.fleet.own_entry
        if decisions.weights_differ([*self.fleet.entries, entry]):
            changed = self.factor.update(
                max(utilization.values()), self.clock()
            )
        else:
            changed = self.factor.value != 1.0
            self.factor = decisions.LoadFactor()
        if changed:
            self.fleet.set_load_factor(self.factor.value)
            node.log_decision(
                'entry weight changed',
                weight=entry.weight,
                load_factor=self.factor.value,
                **{name: round(part, 3) for name, part in utilization.items()},
            )
        self.metrics.gauge('entry.weight', entry.weight * self.factor.value)

    def _utilization(self) -> dict[str, float]:
        now, cpu_s = self.clock(), self.cpu_clock()
        elapsed_s = max(1e-3, now - self.checked_at) * self.cpu_share
        used_s = cpu_s - self.cpu_s
        self.checked_at, self.cpu_s = now, cpu_s
        files = len(os.listdir(_OPEN_FILES)) if self.max_files else 0
        return {
            'processor': used_s / elapsed_s if self.cpu_share else 0.0,
            'buffers': self.buffer_share(),
            'files': files / self.max_files if self.max_files else 0.0,
        }
