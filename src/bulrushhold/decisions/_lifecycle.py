"""State machine of a generation."""

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
FINAL_STATES: t.Final = frozenset(
    ('finished', 'refused', 'cancelled', 'fenced')
)
_ACTIVE_STATES: t.Final = [
    state for state in STATES if state not in FINAL_STATES
]
_TRANSITIONS: t.Final = [
    ['queue', 'accepted', 'queued'],
    ['dispatch', ['accepted', 'queued', 'recovering'], 'dispatched'],
    ['stream', ['dispatched', 'recovering'], 'streaming'],
    ['lose', ['dispatched', 'streaming'], 'recovering'],
    ['finish', _ACTIVE_STATES, 'finished'],
    ['refuse', _ACTIVE_STATES, 'refused'],
    ['cancel', _ACTIVE_STATES, 'cancelled'],
    ['fence', _ACTIVE_STATES, 'fenced'],
]


@attrs.define(slots=False)
class Lifecycle:
    """Current state of one generation.

    A transition that isn't allowed in the current state raises
    ``transitions.MachineError``; a refused generation can't start to
    stream, for example.
    """

    state: str = 'accepted'

    def trigger(self, name: str) -> None:
        """Fire a trigger of the state machine by its name."""
        _MACHINE.events[name].trigger(self)

    @property
    def ended(self) -> bool:
        """Whether the generation is in a final state."""
        return self.state in FINAL_STATES


_MACHINE = transitions.Machine(
    model=None,
    states=list(STATES),
    transitions=_TRANSITIONS,
    initial='accepted',
    auto_transitions=False,
)
