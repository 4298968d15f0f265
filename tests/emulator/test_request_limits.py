"""Tests of request limits over many entries, on emulated time."""

import asyncio

import pytest

from bulrushhold import emulator

LIMIT_PER_S = 2.6
# Entries have this long to agree on their shares.
AGREEMENT_S = 3.0
WINDOW_S = 4.0
# What a limit allows in one window, by the users' bound.
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5


def play(
    entries,
    limited,
    requests_per_s=40.0,
    receiving=None,
    servers=3,
    change=None,
    seed=1,
):
    """Return system and outcomes of a service with limited servers.

    :param limited: number of servers that name a limit, from second 2 on.
    :param receiving: number of entries that get requests, or ``None``.
    :param change: coroutine function that changes the system meanwhile.
    """

    async def run():
        system = emulator.ServiceSystem(servers, entries, seed)
        asyncio.get_running_loop().call_later(2.0, name_limits, system)
        changing = asyncio.ensure_future(change(system)) if change else None
        outcomes = await system.simulate(
            requests_per_s, 16.0, entries=receiving
        )
        if changing is not None:
            await changing
        return system, outcomes

    def name_limits(system):
        for server in system.servers[:limited]:
            server.limit = LIMIT_PER_S

    return emulator.run(run())


def highest_counts(system):
    """Return the most arrivals at each limited server, of all entries."""
    return [
        server.highest_count(2.0 + AGREEMENT_S, WINDOW_S)
        for server in system.servers
        if server.limit is not None
    ]


@pytest.mark.parametrize('limited', [1, 3])
@pytest.mark.parametrize(
    ('entries', 'receiving', 'requests_per_s'),
    [(4, None, 40.0), (9, None, 40.0), (9, 1, 40.0), (300, None, 120.0)],
)
def test_a_request_limit_holds_over_all_entries(
    entries, receiving, requests_per_s, limited
):
    # Guards against a limit that entries ignore, or that each keeps alone.
    for seed in (1, 2, 3):
        system, _ = play(
            entries, limited, requests_per_s, receiving, seed=seed
        )
        assert max(highest_counts(system)) <= ALLOWED


def test_requests_that_a_limited_server_can_not_take_go_elsewhere():
    system, outcomes = play(9, 1)
    assert all(outcome.error is None for outcome in outcomes)
    assert max(highest_counts(system)) <= ALLOWED


def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once():
    # Guards against requests that wait in vain until their deadline.
    _, outcomes = play(9, 3)
    refused = [o for o in outcomes if o.error and o.arrived_at > 6.0]
    assert refused
    for outcome in refused:
        assert outcome.error.status == 503
        assert outcome.error.ran == 'no'
        assert outcome.error.retry_after > 0
        assert outcome.ended_at - outcome.arrived_at < 0.5
