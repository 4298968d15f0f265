"""Tests of servers that turn requests away for a time, on emulated time."""

import asyncio

import pytest

from bulrushhold import emulator

BACKOFF_S = 3.0
# Requests that may be on their way as a server demands to be left alone.
ALLOWED = 2


def play(entries, resting, requests_per_s=40.0, *, seed=1, kind=None):
    """Return system and outcomes; servers rest between seconds 2 and 11.

    :param resting: number of the three servers that turn requests away.
    """

    async def run():
        system = emulator.ServiceSystem(3, entries, seed)
        loop = asyncio.get_running_loop()
        for server in system.servers[:resting]:
            loop.call_later(2.0, setattr, server, 'backoff_s', BACKOFF_S)
            loop.call_later(11.0, setattr, server, 'backoff_s', None)
        return system, await system.simulate(requests_per_s, 16.0)

    return emulator.run(run())


@pytest.mark.parametrize('resting', [1, 2, 3])
@pytest.mark.parametrize(
    ('entries', 'requests_per_s'), [(4, 40.0), (9, 80.0), (300, 600.0)]
)
def test_a_server_is_left_alone_for_as_long_as_it_demands(
    entries, requests_per_s, resting
):
    # Guards against retries and new requests to a server that wants none.
    for seed in (1, 2, 3):
        system, _ = play(entries, resting, requests_per_s, seed=seed)
        counts = [server.most_in_a_backoff() for server in system.servers]
        assert max(counts) <= ALLOWED


def test_requests_are_served_by_the_servers_that_take_them():
    _, outcomes = play(9, 2)
    assert all(outcome.error is None for outcome in outcomes)


def test_requests_that_no_server_takes_in_time_are_refused_at_once():
    # Guards against one request that goes round the servers until its end.
    system, outcomes = play(9, 3)
    refused = [o for o in outcomes if o.error and 3.0 < o.arrived_at < 10.0]
    assert len(refused) > 200
    for outcome in refused:
        assert outcome.error.status == 503
        assert outcome.error.ran == 'no'
        assert outcome.error.retry_after > 0
        assert outcome.ended_at - outcome.arrived_at < 0.5
    last_turned_away = max(
        end for s in system.servers for _, _, end in s.backoffs
    )
    late = [o for o in outcomes if o.arrived_at > last_turned_away]
    assert late
    assert all(outcome.error is None for outcome in late)
