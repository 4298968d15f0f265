"""Requests that crash engines, on emulated time, beside others."""

import asyncio

import pytest

from bulrushhold import emulator

WORKLOAD = emulator.Workload(
    streams_per_s=8.0, duration_s=16.0, prompt_tokens=1600, output_tokens=140
)
START_S = 2.0
SEEDS = (1, 2, 3)
CRASHES = 3
# Entries have this time to learn of a crash, and may send the request so often
# after that.
CONTACT_S = 3.0
ALLOWED = 3
MAX_CRASHES = 5
MIN_SERVED_SHARE = 0.99
SIZES = pytest.mark.parametrize(
    ('entries', 'engines'), [(4, 18), (9, 18), (300, 60)]
)


def play(
    entries=9,
    engines=18,
    *,
    seed=1,
    texts=1,
    callers=12,
    interval_s=0.25,
    down_s=3.0,
    outages=(),
):
    """Return system and outcomes of callers beside poison requests.

    :param outages: start of the loss of each data centre, in order.
    """
    poison = [
        emulator.PoisonCallers(f'bad{n}', callers, START_S, interval_s)
        for n in range(texts)
    ]

    async def run():
        system = emulator.PoisonSystem(
            [emulator.EngineProfile()] * engines, entries, seed, poison, down_s
        )
        losses = [
            asyncio.ensure_future(
                system.fail_data_centre(
                    f'dc{n}', start_s, 1.2, unreachable=bool(n % 2)
                )
            )
            for n, start_s in enumerate(outages)
        ]
        outcomes = await system.simulate(WORKLOAD)
        await asyncio.gather(*losses)
        return system, outcomes

    return emulator.run(run())


def served_share(outcomes):
    return sum(outcome.completed for outcome in outcomes) / len(outcomes)


def check_late_arrivals(system):
    for poison in system.poison:
        late = system.count_late_arrivals(poison.segment, CRASHES, CONTACT_S)
        assert late <= ALLOWED
    # Requests that shared an engine with a poison one stay free.
    assert not system.wrongly_blocked


def check_crashes(system, outcomes):
    for poison in system.poison:
        assert len(system.crashes[poison.segment]) <= MAX_CRASHES
    assert served_share(outcomes) >= MIN_SERVED_SHARE


@SIZES
@pytest.mark.parametrize('seed', SEEDS)
def test_accepted_streams_of_a_poison_request_are_not_sent_on(
    entries, engines, seed
):
    # Guards against a block that only new requests ask for.
    system, outcomes = play(entries, engines, seed=seed)
    check_late_arrivals(system)
    check_crashes(system, outcomes)


@pytest.mark.parametrize('seed', SEEDS)
def test_one_caller_of_a_poison_request_crashes_three_engines(seed):
    system, outcomes = play(callers=1, seed=seed)
    assert len(system.crashes['bad0']) <= CRASHES
    check_crashes(system, outcomes)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_poison_request_of_many_callers_at_once_is_blocked(seed):
    # Guards against crashes taken for the loss of a data centre.
    system, _ = play(interval_s=0.0, seed=seed)
    check_late_arrivals(system)


@pytest.mark.parametrize('interval_s', [0.0, 0.25])
@pytest.mark.parametrize('seed', SEEDS)
def test_several_poison_requests_at_once_are_blocked(seed, interval_s):
    # Guards against crashes of each that hide those of the others.
    system, _ = play(texts=3, interval_s=interval_s, seed=seed)
    check_late_arrivals(system)


@pytest.mark.parametrize('seed', SEEDS)
def test_crashes_of_engines_that_are_back_at_once_count(seed):
    # Guards against a new instance at the address that hides the crash.
    system, outcomes = play(down_s=None, seed=seed)
    check_late_arrivals(system)
    check_crashes(system, outcomes)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_poison_request_beside_the_loss_of_data_centres_is_blocked(seed):
    system, _ = play(seed=seed, outages=(3.0, 8.0, 13.0))
    check_late_arrivals(system)


@SIZES
@pytest.mark.parametrize('outages', [(4.0, 8.0, 12.0), (4.0, 5.0, 6.0)])
def test_streams_that_lose_their_data_centres_are_not_blocked(
    entries, engines, outages
):
    # Guards against taking common losses of engines for crashes of a request.
    for seed in SEEDS:
        system, outcomes = play(
            entries, engines, seed=seed, callers=0, outages=outages
        )
        assert system.blocked == []
        assert served_share(outcomes) >= MIN_SERVED_SHARE
