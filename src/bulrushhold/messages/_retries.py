"""Messages about the part of a retry budget that entries share."""

import attrs


@attrs.frozen
class RetryAsk:
    """Asks the home of a service for retries beyond an entry's own share.

    :param begun: retries of streams of which callers have received events.
    :param other: retries of other requests.
    :param pool: retries that the home may grant within the window.
    :param window_s: length of the window in seconds.
    """

    service: str
    entry: str
    begun: int
    other: int
    pool: float
    window_s: float


@attrs.frozen
class RetryGrant:
    """Reply to :class:`RetryAsk`; a part may be granted.

    :param begun: granted retries of streams that have begun.
    :param other: granted retries of other requests.
    :param hold_s: time after which to ask for what isn't granted.
    """

    begun: int
    other: int
    hold_s: float = 0.0


@attrs.frozen
class RetryDelay:
    """Tells the home that granted retries are sent only now.

    :param count: number of retries.
    """

    service: str
    count: int


@attrs.frozen
class RetryPoolUpdate:
    """Tells the next home what the home of a service has just granted.

    :param count: number of retries.
    """

    service: str
    count: int


@attrs.frozen
class RetryPoolCopy:
    """What a service's home has granted, for its loss.

    :param grants: age in seconds and number of grants, by interval.
    """

    service: str
    window_s: float
    grants: list[tuple[float, int]] = attrs.field(factory=list)
