"""Rollouts of good and bad versions, with and without faults beside them."""

import pytest

from bulrushhold import decisions
from bulrushhold import emulator
from bulrushhold import messages

SEEDS = range(6)
SUCCEEDED = messages.RolloutState.SUCCEEDED
ROLLED_BACK = messages.RolloutState.ROLLED_BACK


def run(seed, **conditions):
    scenario = emulator.RolloutScenario(**conditions)
    result = emulator.RolloutSimulation(scenario, seed).run()
    if result.state is ROLLED_BACK:
        assert result.excess_exposure(scenario.limits) <= 0
    assert not result.late_exposures
    return result


FAULTS = {
    'no fault': {},
    'a third of the entries lose control': {'cut_entries': 0.34},
    'another leader takes over': {'leader_change_s': 6.0},
}


@pytest.mark.parametrize('faults', FAULTS.values(), ids=FAULTS)
@pytest.mark.parametrize('seed', SEEDS)
def test_a_good_version_succeeds_within_its_time_limit(seed, faults):
    result = run(seed, duration_s=12.0, **faults)
    assert result.state is SUCCEEDED
    assert result.ended_at <= 12.0


@pytest.mark.parametrize('seed', SEEDS)
def test_one_faulty_engine_does_not_condemn_its_version(seed):
    assert run(seed, faulty_engine=True).state is SUCCEEDED


@pytest.mark.parametrize('seed', SEEDS)
def test_failures_of_both_versions_condemn_neither(seed):
    result = run(seed, failure_shares=(0.3, 0.4))
    assert result.state is SUCCEEDED


@pytest.mark.parametrize('faults', FAULTS.values(), ids=FAULTS)
@pytest.mark.parametrize('onset', list(emulator.Onset)[1:])
@pytest.mark.parametrize(
    'badness',
    [{'bad_failure_share': 0.3}, {'slowdown': 3.0}],
    ids=['failing', 'slow'],
)
def test_a_bad_version_is_rolled_back(badness, onset, faults):
    for seed in SEEDS:
        result = run(seed, duration_s=20.0, onset=onset, **badness, **faults)
        assert result.state is ROLLED_BACK
        assert result.ended_at <= 20.0


@pytest.mark.parametrize('duration_s', [8.0, 12.0, 20.0])
def test_exposure_stays_limited_even_if_a_bad_version_is_missed(
    duration_s, monkeypatch
):
    # Each failure of the analysis must cost at most the allowed share.
    verdict = decisions.RolloutVerdict(False, '')
    monkeypatch.setattr(
        decisions.RolloutAnalysis, 'update', lambda *_: verdict
    )
    scenario = emulator.RolloutScenario(
        duration_s=duration_s,
        onset=emulator.Onset.AT_ONCE,
        bad_failure_share=0.3,
        rollback_s=99.0,
    )
    for seed in SEEDS:
        result = emulator.RolloutSimulation(scenario, seed).run()
        assert result.state is SUCCEEDED
        assert result.excess_exposure(scenario.limits) <= 0


# Seeded bugs, which the simulation must find


def test_a_lease_kept_without_control_would_expose_too_late(monkeypatch):
    conditions = {
        'onset': emulator.Onset.AT_ONCE,
        'bad_failure_share': 0.8,
        'cut_entries': 0.5,
        'cut_at_s': 0.7,
        'rates_per_s': (300.0, 26.0),
        'rollback_s': 2.0,
    }
    for seed in SEEDS:
        run(seed, **conditions)
    monkeypatch.setattr('bulrushhold.decisions._versionsplit.LEASE_S', 99.0)
    scenario = emulator.RolloutScenario(**conditions)
    results = [emulator.RolloutSimulation(scenario, s).run() for s in SEEDS]
    assert any(result.late_exposures for result in results)


def test_an_allowance_for_each_entry_would_expose_too_much(monkeypatch):
    conditions = {
        'onset': emulator.Onset.LATER,
        'bad_failure_share': 0.8,
        'duration_s': 4.0,
        'entries': 200,
    }
    for seed in SEEDS:
        run(seed, **conditions)
    start = decisions.VersionSplit._start

    def start_with_allowance(split, plan):
        start(split, plan)
        split.credits[plan.service] = 2.0

    monkeypatch.setattr(decisions.VersionSplit, '_start', start_with_allowance)
    scenario = emulator.RolloutScenario(**conditions)
    results = [emulator.RolloutSimulation(scenario, s).run() for s in SEEDS]
    excess = [result.excess_exposure(scenario.limits) for result in results]
    assert max(excess) > 0
