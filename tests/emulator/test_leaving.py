"""Tests of servers that say they are shutting down, on emulated time."""

import asyncio

import pytest

from bulrushhold import emulator

DRAIN_S = 3.0


def play(entries, leaving, requests_per_s=40.0, seed=1):
    """Return system and outcomes; servers say from second 2 on that they go.

    :param leaving: number of the three servers that do.
    """

    async def run():
        system = emulator.ServiceSystem(3, entries, seed)
        loop = asyncio.get_running_loop()
        for server in system.servers[:leaving]:
            loop.call_later(2.0, setattr, server, 'leaving', True)
        return system, await system.simulate(requests_per_s, 12.0)

    return emulator.run(run())


@pytest.mark.parametrize(
    ('entries', 'requests_per_s'), [(4, 40.0), (9, 40.0), (300, 600.0)]
)
def test_a_server_that_says_it_is_leaving_gets_no_new_requests(
    entries, requests_per_s
):
    # Guards against entries that wait for the platform's list to say so.
    for seed in (1, 2, 3):
        system, outcomes = play(entries, 2, requests_per_s, seed)
        counts = [s.count_after_leaving(DRAIN_S) for s in system.servers]
        assert counts == [0, 0, 0]
        assert all(outcome.error is None for outcome in outcomes)
