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

MAX_WAIT_RATIO: t.Final = 2.0
# Of the longest pause wanted; a copy is taken into use within the rest.
FAILOVER_GAP_SHARE: t.Final = 0.85
# Below this, asking costs more than it tells.
MIN_PROBE_S: t.Final = 0.05


@attrs.frozen
class Patience:
    """Bounds for one silent engine, in seconds.

    :param common_pause_s: between its events, mostly.
    :param usual_pause_s: between its events, nearly always.
    :param gap_s: longest pause that is wanted there.
    :param asking_s: until an engine that gives no answer is given up.
    """

    common_pause_s: float
    usual_pause_s: float
    gap_s: float
    asking_s: float

    @property
    def ask_after_s(self) -> float:
        """Silence after which the engine is asked whether it lives.

        Early enough for the next event to come from elsewhere, which takes as
        long as a usual pause, within the longest pause that is wanted; but
        not at each pause, which would keep engines busy with answers.
        """
        latest = self.gap_s - self.asking_s - self.usual_pause_s
        return max(
            MIN_PROBE_S,
            min(self.usual_pause_s, max(latest, self.common_pause_s)),
        )

    def leave_with_copy_s(self) -> float:
        """Silence after which a copy elsewhere is taken into use."""
        return max(
            MAX_WAIT_RATIO * self.usual_pause_s,
            FAILOVER_GAP_SHARE * self.gap_s,
        )

    def leave_without_copy_s(self, elsewhere_s: float) -> float:
        """Silence after which the prompt is read again elsewhere.

        :param elsewhere_s: until another engine has read it.
        """
        return max(self.leave_with_copy_s(), MAX_WAIT_RATIO * elsewhere_s)


def leave_unread_s(here_s: float, elsewhere_s: float) -> float:
    """Return the wait for a first event after which an engine is left.

    :param here_s: expected when the prompt was sent there.
    :param elsewhere_s: until another engine has read it.
    """
    return MAX_WAIT_RATIO * max(here_s, elsewhere_s)
