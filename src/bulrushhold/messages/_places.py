"""Messages about places at brittle servers, shared by all entries."""

import attrs


@attrs.frozen
class PlaceReport:
    """An entry's requests at a server, as known to the entry.

    :param epoch: changes when the entry restarts or has lost a reply;
        earlier grants no longer count.
    :param held: requests at the server, and granted places not used yet.
    :param grants: places granted in this epoch.
    """

    server: str
    entry: str
    epoch: int
    held: int
    grants: int


@attrs.frozen
class PlaceAsk:
    """Asks the home of a brittle server for a place for one request.

    :param report: what the entry holds, without this request.
    :param room: requests that the server runs at once.
    :param max_wait_s: how long the request can wait.
    """

    report: PlaceReport
    room: int
    max_wait_s: float = 0.0


@attrs.frozen
class PlaceGrant:
    """Reply to :class:`PlaceAsk`."""

    granted: bool
