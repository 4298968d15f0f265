"""One backend server, and what an entry knows of its load."""

import typing as t

import attrs

from bulrushhold import messages

# What a server told of other entries' requests counts half after this time;
# a plain request lasts about 0.1 s, so that more would be a mere memory.
REMOTE_REQUESTS_HALF_LIFE_S: t.Final = 0.5
# Failures are forgotten with time, or a server left alone would stay so.
FAILURE_HALF_LIFE_S: t.Final = 3.0
NO_LOAD: t.Final = messages.EngineLoad(0, 0)


@attrs.define
class Placed:
    """One backend server and what this entry knows of it.

    :param inflight: requests of this entry.
    :param reading: prompt tokens of this entry's streams that have shown
        no event yet.
    :param memory: tokens that this entry's streams and backups hold.
    :param foreign: requests of other entries, as of ``foreign_at``.
    :param others: what other entries say they have running there.
    :param lost_at: when it last died or couldn't be reached; a copy made
        there before is gone.
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
    remote_requests_at: float = 0.0
    latency: float = 0.0
    failures: float = 0.0
    failed_at: float = 0.0
    suspect_until: float = 0.0
    others: messages.EngineLoad = NO_LOAD
    lost_at: float = float('-inf')

    def remote_requests_now(self, now: float) -> float:
        """Return the requests of others, as far as they are still there."""
        age = now - self.remote_requests_at
        return self.remote_requests * 0.5 ** (
            age / REMOTE_REQUESTS_HALF_LIFE_S
        )

    def failures_now(self, now: float) -> float:
        """Return the share of requests that lately failed there."""
        age = now - self.failed_at
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)
