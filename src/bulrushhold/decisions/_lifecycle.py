"""States of a generation, and the moves between them."""

import typing as t

import attrs
import transitions

STATES: t.Final = (
    'accepted',
    'queued',
    'dispatched',
    'streaming',
    'recovering',
    'finished',
    'refused',
    'cancelled',
    'fenced',
)
FINAL: t.Final = frozenset(('finished', 'refused', 'cancelled', 'fenced'))
_LIVE: t.Final = [state for state in STATES if state not in FINAL]
_MOVES: t.Final = [
    ['queue', 'accepted', 'queued'],
    ['dispatch', ['accepted', 'queued', 'recovering'], 'dispatched'],
    ['stream', ['dispatched', 'recovering'], 'streaming'],
    ['lose', ['dispatched', 'streaming'], 'recovering'],
    ['finish', _LIVE, 'finished'],
    ['refuse', _LIVE, 'refused'],
    ['cancel', _LIVE, 'cancelled'],
    ['fence', _LIVE, 'fenced'],
]


@attrs.define(slots=False)
class Lifecycle:
    """The state of one generation.

    A move that its state doesn't allow raises
    ``transitions.MachineError``: a finished answer can't be refused and
    a refused one can't stream.
    """

    state: str = 'accepted'

    def move(self, name: str) -> None:
        """Make a move, one of the triggers of the machine."""
        _MACHINE.events[name].trigger(self)

    @property
    def ended(self) -> bool:
        """Whether the generation has its final state."""
        return self.state in FINAL


_MACHINE = transitions.Machine(
    model=None,
    states=list(STATES),
    transitions=_MOVES,
    initial='accepted',
    auto_transitions=False,
)
