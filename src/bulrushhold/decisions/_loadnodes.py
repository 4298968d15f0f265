"""What a control process knows of the load at another one."""

import attrs

from bulrushhold.decisions import _loadtotals
from bulrushhold import messages


@attrs.define
class Node:
    """The state of the exchange with another control process.

    :param at: when its newest message arrived.
    :param received: number of its newest sum received here.
    :param acknowledged: number of the newest sum it has received from here.
    :param evidence: its newest evidence about rollouts.
    """

    data_centre: str
    incarnation: int
    at: float
    received: int = 0
    acknowledged: int = 0
    engines: dict[str, messages.EngineLoad] = attrs.field(factory=dict)
    sum: messages.LoadReport | None = None
    evidence: dict[str, messages.RolloutEvidence] = attrs.field(factory=dict)

    def clear_sum(self) -> None:
        """Drop an outdated sum; the next one to be accepted is complete."""
        self.sum = None
        self.engines = {}
        self.received = 0

    def update(self, load: messages.NodeLoad) -> bool:
        """Apply a sum; return ``False`` if an earlier one is missing."""
        if load.since > self.received:
            # The sender resumes from the last acknowledged sum.
            return False
        engines = {} if not load.since else dict(self.engines)
        for ident, engine_load in load.sum.engines.items():
            if engine_load == _loadtotals.NO_LOAD:
                engines.pop(ident, None)
            else:
                engines[ident] = engine_load
        self.engines = engines
        self.received = load.number
        self.sum = attrs.evolve(load.sum, engines=engines)
        return True
