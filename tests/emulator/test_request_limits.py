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


@pytest.mark.parametrize('entries', [9, 300])
def test_a_limit_holds_while_its_home_is_unreachable(entries):
    # Guards against each entry using the whole limit without its home.
    async def lose_home(system):
        await asyncio.sleep(6.0)
        system.permit_home.reachable = False
        await asyncio.sleep(5.0)
        system.permit_home.reachable = True

    for seed in (1, 2, 3):
        system, outcomes = play(entries, 1, 120.0, change=lose_home, seed=seed)
        assert max(highest_counts(system)) <= ALLOWED
        assert all(outcome.error is None for outcome in outcomes)


@pytest.mark.parametrize('entries', [9, 300])
def test_a_limit_holds_after_its_home_has_lost_its_memory(entries):
    async def restart_home(system):
        for _ in range(4):
            await asyncio.sleep(2.5)
            system.permit_home.home.meters.clear()

    for seed in (1, 2, 3):
        system, _ = play(entries, 3, 120.0, change=restart_home, seed=seed)
        assert max(highest_counts(system)) <= ALLOWED


def test_entries_follow_a_limit_that_is_lowered():
    # Guards against permits of the old rate that are used after the change.
    async def lower(system):
        await asyncio.sleep(2.5)
        for server in system.servers:
            server.limit = 4 * LIMIT_PER_S
        await asyncio.sleep(3.5)
        for server in system.servers:
            server.limit = LIMIT_PER_S

    for seed in (1, 2, 3):
        system, _ = play(9, 3, change=lower, seed=seed)
        for server in system.servers:
            assert server.highest_count(6.0, WINDOW_S) <= ALLOWED


def test_a_server_gets_its_share_again_after_its_limit_has_ended():
    # Guards against a limit that no response can end.
    async def end(system):
        await asyncio.sleep(7.0)
        system.servers[0].limit = None

    system, _ = play(9, 1, change=end)
    late = [a for a in system.servers[0].arrivals if a.at > 10.0]
    assert len(late) > 40


def test_an_entry_hears_of_a_limit_from_the_others():
    system, _ = play(9, 1, receiving=1)
    limits = [entry.placement.demands.limits for entry in system.entries]
    assert {limit.current('s0') for limit in limits} == {LIMIT_PER_S}


def test_a_service_of_one_limited_server_serves_what_it_may():
    system, outcomes = play(9, 1, servers=1)
    assert max(highest_counts(system)) <= ALLOWED
    served = [o for o in outcomes if o.arrived_at > 6.0 and o.error is None]
    # The home grants four fifths of a limit.
    assert len(served) >= 0.7 * 0.8 * LIMIT_PER_S * 10


def test_callers_are_told_different_times_to_retry():
    # Guards against refused callers who return all at once.
    _, outcomes = play(9, 3)
    times = {round(o.error.retry_after, 3) for o in outcomes if o.error}
    assert len(times) > 50
