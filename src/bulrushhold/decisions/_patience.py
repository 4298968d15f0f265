"""How long a stream waits for its engine before it asks, and leaves.

A dead engine is left at once. A living one is busy, mostly with others'
prompts, and leaving it has a price: going on elsewhere takes a while, and
makes other streams wait there. So it is left only once the stream has
waited for longer than going on elsewhere is expected to take, twice over:
the wait is then at most that of an oracle times a small factor (ski rental;
Karlin et al., Competitive snoopy caching, 1988). Where all engines are slow
the price grows with them, so that moves don't feed on each other.
"""

import typing as t

import attrs

TIMES: t.Final = 2.0
# Of the longest pause wanted: asked in its first half, a dead engine can be
# left and its copy be taken into use within the other half.
ASK_SHARE: t.Final = 0.5
# A copy is taken into use within the rest.
LEAVE_SHARE: t.Final = 0.85
# Below this, asking costs more than it tells.
LEAST_ASK_S: t.Final = 0.05


@attrs.frozen
class Patience:
    """Bounds for one silent engine, in seconds.

    :param usual_pause_s: between its events.
    :param gap_s: longest pause that is wanted there.
    """

    usual_pause_s: float
    gap_s: float

    @property
    def ask_after_s(self) -> float:
        """Silence after which the engine is asked whether it lives."""
        return max(
            LEAST_ASK_S, min(self.usual_pause_s, ASK_SHARE * self.gap_s)
        )

    def leave_with_copy_s(self) -> float:
        """Silence after which a copy elsewhere is taken into use."""
        return max(TIMES * self.usual_pause_s, LEAVE_SHARE * self.gap_s)

    def leave_without_copy_s(self, elsewhere_s: float) -> float:
        """Silence after which the prompt is read again elsewhere.

        :param elsewhere_s: until another engine has read it.
        """
        return max(self.leave_with_copy_s(), TIMES * elsewhere_s)


def leave_unread_s(here_s: float, elsewhere_s: float) -> float:
    """Return the wait for a first event after which an engine is left.

    :param here_s: expected when the prompt was sent there.
    :param elsewhere_s: until another engine has read it.
    """
    return TIMES * max(here_s, elsewhere_s)
