"""Decides which client connections give way while memory or places are short.

A connection that is being answered never does, unless its caller has stopped
reading. Of all others, those that have stopped in the middle of a request go
first: nobody waits for them, and their clients can come again.
"""

import collections.abc as cabc
import enum
import typing as t

import attrs

# A request of which less than a KB has arrived for this time has stalled. A
# slow but working client sends that much several times a second.
STALLED_S: t.Final = 1.0
# An answer that nobody has read any of for this time.
UNREAD_S: t.Final = 5.0
# A request that holds no more is ordinary, and others give way to it.
SMALL_BYTES: t.Final = 32 << 10

_T = t.TypeVar('_T')


class ClientStage(enum.Enum):
    """What a connection is doing.

    :cvar UNUSED: no byte of a request has arrived yet.
    :cvar RECEIVING: a request has begun to arrive.
    :cvar ANSWERING: a request is being handled.
    :cvar SENDING: a part of an answer waits for its caller to read.
    :cvar DISCARDING: it was answered before all of its request had arrived.
    :cvar KEPT: an answered connection waits for the next request.
    """

    UNUSED = 'unused'
    RECEIVING = 'receiving'
    ANSWERING = 'answering'
    SENDING = 'sending'
    DISCARDING = 'discarding'
    KEPT = 'kept'


@attrs.frozen
class ClientState:
    """One connection, as seen by these decisions.

    :param held: bytes of memory that it holds.
    :param progress_at: when its present stage last went on, in seconds.
    """

    stage: ClientStage
    held: int
    progress_at: float

    def stalled_s(self, now: float) -> float:
        """Return for how long it has not gone on."""
        return max(0.0, now - self.progress_at)

    def has_stalled(self, now: float) -> bool:
        """Return whether nothing is lost for others if it is closed."""
        stalled_s = self.stalled_s(now)
        match self.stage:
            case ClientStage.DISCARDING:
                return True
            case ClientStage.RECEIVING | ClientStage.UNUSED:
                return stalled_s >= STALLED_S
            case ClientStage.SENDING:
                return stalled_s >= UNREAD_S
        return False


_States = cabc.Iterable[tuple[_T, ClientState]]


def free_memory_order(states: _States[_T], now: float) -> list[_T]:
    """Return the stalled connections that hold memory.

    Those that have held the most for the longest time come first.
    """
    stalled = [
        (state.held * state.stalled_s(now), connection)
        for connection, state in states
        if state.held and state.has_stalled(now)
    ]
    stalled.sort(key=lambda item: item[0], reverse=True)
    return [connection for _, connection in stalled]


def large_requests(states: _States[_T]) -> list[_T]:
    """Return requests that still arrive and hold much, the largest first."""
    large = [
        (state.held, connection)
        for connection, state in states
        if state.stage is ClientStage.RECEIVING and state.held > SMALL_BYTES
    ]
    large.sort(key=lambda item: item[0], reverse=True)
    return [connection for _, connection in large]


def free_place_order(states: _States[_T], now: float) -> list[_T]:
    """Return the connections that may be closed for another one, in order.

    First those that have stalled, then those that are kept for a later
    request, and last those that have just connected; the oldest of each.
    """
    ranked = []
    for connection, state in states:
        if state.has_stalled(now):
            rank = 0
        elif state.stage is ClientStage.KEPT:
            rank = 1
        elif state.stage in (ClientStage.UNUSED, ClientStage.RECEIVING):
            rank = 2
        else:
            continue
        ranked.append(((rank, state.progress_at), connection))
    ranked.sort(key=lambda item: item[0])
    return [connection for _, connection in ranked]
