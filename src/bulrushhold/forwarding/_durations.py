"""How long recent requests of this entry took, from request to end."""

import collections
import collections.abc as cabc
import math
import typing as t

from bulrushhold import routes

MAX_SAMPLES: t.Final = 100
MIN_SAMPLES: t.Final = 10


class Durations:
    """The latest durations, by service and kind of request."""

    def __init__(self) -> None:
        self.seconds: dict[
            tuple[str, routes.Kind], collections.deque[float]
        ] = {}

    def record(self, service: str, kind: routes.Kind, seconds: float) -> None:
        """Record the duration of a request that was served."""
        samples = self.seconds.setdefault(
            (service, kind), collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(seconds)

    def quantile_s(
        self,
        service: str,
        kind: routes.Kind,
        share: float,
        running_s: cabc.Iterable[float],
    ) -> float:
        """Return the duration that a share of the requests doesn't exceed.

        :param running_s: how long others have been running so far; if they
            have become longer, it shows in it before they end.
        :return: seconds; 0 if there are too few of them.
        """
        ended = sorted(self.seconds.get((service, kind), ()))
        # One that has run for less than the usual tells nothing.
        usual_s = ended[len(ended) // 2] if ended else 0.0
        samples = sorted([*ended, *(s for s in running_s if s > usual_s)])
        if len(samples) < MIN_SAMPLES:
            return 0.0
        return samples[math.ceil(share * len(samples)) - 1]
