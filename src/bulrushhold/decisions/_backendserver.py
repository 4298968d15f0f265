"""The state of one backend server as seen by an entry."""

import typing as t

import attrs

from bulrushhold import messages

# Half-life of the load that a server reports: most requests counted in it
# complete within a fraction of a second.
REMOTE_REQUESTS_HALF_LIFE_S: t.Final = 0.5
# Failures decay with time; otherwise a server that gets no requests could
# never recover.
FAILURE_HALF_LIFE_S: t.Final = 3.0
NO_LOAD: t.Final = messages.EngineLoad(0, 0)


@attrs.define
class BackendServer:
    """A backend server with its load and recent failures.

    :param inflight: requests of this entry.
    :param reading: prompt tokens of this entry's streams that have not
        produced an event yet.
    :param memory: tokens held by this entry's streams and backups.
    :param remote_requests: requests of other entries, as of
        ``remote_requests_at``.
    :param remote_load: load that other entries report.
    :param version: version of its software.
    :param lost_at: when it last crashed or became unreachable; copies made
        there before are lost.
    :param slowness_floor: the least that the slowness of this engine can be
        until something new is known of it.
    :param encoded_ident: the ident as it is hashed.
    """

    ident: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    inflight: int = 0
    reading: int = 0
    memory: int = 0
    remote_requests: float = 0.0
    remote_requests_at: float = float('-inf')
    latency: float = 0.0
    failures: float = 0.0
    failed_at: float = 0.0
    ejected_until: float = 0.0
    remote_load: messages.EngineLoad = NO_LOAD
    lost_at: float = float('-inf')
    version: str = ''
    slowness_floor: float = 1.0
    encoded_ident: bytes = attrs.field(init=False, eq=False, repr=False)

    @encoded_ident.default
    def _encode_ident(self) -> bytes:
        return self.ident.encode()

    def remote_requests_now(self, now: float, mean: float = 0.0) -> float:
        """Return the estimated number of other entries' current requests.

        :param mean: value to which the server's last statement decays.
        """
        age = now - self.remote_requests_at
        return mean + (self.remote_requests - mean) * 0.5 ** (
            age / REMOTE_REQUESTS_HALF_LIFE_S
        )

    def failures_now(self, now: float) -> float:
        """Return the recent share of failed requests, between 0 and 1."""
        age = now - self.failed_at
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)
