"""The changing pace of emulated servers on shared hosts."""

import random

import attrs


@attrs.frozen
class PaceProfile:
    """How often and how much other tenants slow a server down.

    :param slow: factor of the time that work takes at the slow pace.
    :param share: share of the time at the slow pace.
    :param mean_s: mean time between two draws of the pace.
    """

    slow: float = 2.5
    share: float = 0.15
    mean_s: float = 0.6

    @property
    def mean_speed(self) -> float:
        """Work done in a time, relative to that at the usual pace."""
        return 1 - self.share + self.share / self.slow


class Pace:
    """The pace of one server, as its response headers state it.

    :param name: seeds the draws, together with ``seed``.
    """

    def __init__(self, profile: PaceProfile, name: str, seed: int) -> None:
        self.profile = profile
        self.rng = random.Random(f'{seed}/{name}')
        self.value = 1.0
        self.until = 0.0

    def now(self, now: float) -> float:
        """Return the present pace; ``now`` must not decrease."""
        while now >= self.until:
            slow = self.rng.random() < self.profile.share
            self.value = self.profile.slow if slow else 1.0
            self.until += self.rng.expovariate(1 / self.profile.mean_s)
        return self.value
