"""Attempts at plain servers in load reports, as shared by all entries."""

import random

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import messages
from tests import plainload
from tests import test_loadreports

SERVICE = plainload.SERVICE


def make_placement(seed=1, *, paced=True, prefix='s'):
    placement = decisions.Placement(random.Random(seed))
    list_servers(placement, prefix)
    if paced:
        placement.server_speeds.record_pace(SERVICE, f'{prefix}0', 1.0, 0.0)
    return placement


def list_servers(placement, prefix='s'):
    placement.update(
        [
            messages.ListedBackend(
                f'{prefix}{n}', SERVICE, f'10.0.0.{n}:80', '', 6
            )
            for n in range(4)
        ]
    )


def attempt(placement, ident, now, *, failed=False, count=1):
    for _ in range(count):
        if failed:
            placement.record_failure(ident, now, unreachable=False)
        else:
            placement.record_success(ident, now, 0.1)
        placement.record_attempt(ident, now, failed=failed)


def share(placement, ident, now):
    return placement.failure_share(placement.backends[ident], now)


def choose(placement, now, count=20, *, at_most_once=True):
    return {
        placement.choose(
            SERVICE, now, at_most_once=at_most_once, tried=set()
        ).ident
        for _ in range(count)
    }


def counts(attempts, failures):
    return {'s0': messages.FailureSample(attempts, failures)}


def add_report(network, node, entry, failures):
    network.nodes[node].add_report(
        messages.LoadReport(entry, {}, [], failures=failures), network.now
    )


def apply_summary(placement, samples, now, *, number=2, since=1):
    placement.apply_loads(
        messages.LoadSummary(number, {}, [], since=since, failures=samples),
        now,
    )


def test_an_entry_learns_from_failures_at_other_entries():
    # Guards against entries that each fail requests at the same server.
    network = test_loadreports.Network(2)
    first, second = make_placement(), make_placement(2)
    attempt(first, 's0', 0.0, failed=True, count=3)
    report = first.load_report('e1', {}, 0.0)
    network.nodes['n0'].add_report(report, network.now)
    network.exchange(3)
    second.apply_loads(network.summary('n1', 'e2'), network.now)
    assert share(second, 's0', network.now) == pytest.approx(3 / 7, 0.05)
    assert 's0' not in choose(second, network.now)


@pytest.mark.parametrize('loss', [0.0, 0.5])
def test_each_sample_counts_once_at_all_processes(loss):
    # Guards against samples that are doubled by messages sent again.
    network = test_loadreports.Network(4, loss=loss)
    for _ in range(20):
        add_report(network, 'n0', 'e', counts(4, 1))
        network.exchange(10)
    # Half a second between reports, and a half-life of 3 s.
    expected = sum(4 * 0.5 ** (number * 0.5 / 3) for number in range(20))
    reference = network.summary('n0').failures['s0']
    assert reference.attempts == pytest.approx(expected, 0.01)
    for name in network.nodes:
        sample = network.summary(name).failures['s0']
        assert sample.attempts <= expected + 0.1
        assert sample.failures / sample.attempts == pytest.approx(0.25, 0.05)
        assert sample.attempts >= 0.6 * expected


def test_samples_of_several_processes_add_up():
    network = test_loadreports.Network(2)
    add_report(network, 'n0', 'e0', counts(10, 4))
    add_report(network, 'n1', 'e1', counts(10, 0))
    network.exchange(1)
    for name in network.nodes:
        sample = network.summary(name).failures['s0']
        assert sample.attempts == pytest.approx(20, 0.02)
        assert sample.failures == pytest.approx(4, 0.02)


def test_an_entry_is_not_sent_its_own_samples():
    # Guards against own failures that count twice.
    network = test_loadreports.Network(2)
    add_report(network, 'n0', 'e0', counts(10, 5))
    network.exchange(1)
    assert not network.summary('n0', 'e0').failures
    add_report(network, 'n0', 'e1', counts(8, 0))
    network.exchange(3)
    add_report(network, 'n0', 'e2', {})
    sample = network.summary('n0', 'e0').failures['s0']
    assert sample.attempts == pytest.approx(8, 0.02)
    assert sample.failures == 0
    assert network.summary('n1', 'e0').failures['s0'].failures > 4


def test_a_report_of_an_entry_that_left_still_excludes_its_samples():
    # Guards against own samples that return after a lost connection.
    network = test_loadreports.Network(1)
    add_report(network, 'n0', 'e0', counts(10, 5))
    network.nodes['n0'].remove_report('e0')
    add_report(network, 'n0', 'e1', {})
    assert not network.summary('n0', 'e0').failures


def test_own_samples_do_not_return_by_another_process():
    # Guards against own failures that count twice after a change of process.
    network = test_loadreports.Network(2)
    placement = make_placement()
    attempt(placement, 's0', 0.0, failed=True, count=2)
    report = placement.load_report('e0', {}, 0.0)
    network.nodes['n0'].add_report(report, network.now)
    network.exchange(2)
    attempt(placement, 's0', network.now, failed=True)
    placement.apply_loads(network.summary('n1', 'e0'), network.now)
    assert share(placement, 's0', network.now) == pytest.approx(3 / 7, 0.05)


def test_own_samples_count_until_control_reports_others():
    placement = make_placement()
    attempt(placement, 's0', 0.0, failed=True)
    apply_summary(placement, {}, 0.0)
    assert share(placement, 's0', 0.0) == pytest.approx(0.2)
    apply_summary(placement, counts(15, 0), 0.0)
    assert share(placement, 's0', 0.0) == pytest.approx(1 / 20)


def test_samples_of_a_lost_report_count_at_their_own_entry():
    # Guards against an entry that forgets a failure if its report is lost.
    placement = make_placement()
    attempt(placement, 's0', 0.0, failed=True, count=4)
    assert placement.load_report('e0', {}, 0.0).failures
    assert not placement.load_report('e0', {}, 0.0).failures
    apply_summary(placement, counts(4, 0), 0.1)
    assert share(placement, 's0', 0.1) == pytest.approx(4 / 12, 0.05)


def test_a_new_instance_at_an_address_starts_afresh():
    # Guards against a replacement that is avoided for earlier failures.
    placement = make_placement()
    attempt(placement, 's0', 0.0, failed=True, count=5)
    apply_summary(placement, counts(10, 10), 0.0)
    list_servers(placement, 't')
    assert share(placement, 't0', 0.0) == 0.0
    assert not placement.load_report('e0', {}, 0.0).failures
    placement.record_attempt('s0', 0.0, failed=True)
    assert not placement.load_report('e0', {}, 0.0).failures
    list_servers(placement)
    assert share(placement, 's0', 0.0) == 0.0


def test_without_control_each_entry_uses_its_own_samples():
    # Guards against outdated shares that hide what an entry sees itself.
    placement = make_placement()
    apply_summary(placement, counts(20, 0), 0.0)
    attempt(placement, 's0', 6.0, failed=True)
    assert share(placement, 's0', 6.0) == pytest.approx(0.2)
    apply_summary(placement, counts(20, 10), 6.0)
    assert share(placement, 's1', 8.5) == 0.0
    assert share(placement, 's0', 8.5) < 0.2


def test_a_share_decays_without_new_attempts():
    # Guards against a server that is avoided for ever.
    placement = make_placement()
    apply_summary(placement, counts(200, 100), 0.0)
    assert 's0' not in choose(placement, 0.0)
    for second in range(1, 25):
        placement.confirm_loads(float(second))
    assert share(placement, 's0', 6.0) < 0.13
    assert share(placement, 's0', 24.0) < 0.01
    assert 's0' in choose(placement, 24.0)


def test_a_dropped_server_is_no_longer_sent():
    # Guards against figures of servers that are gone, kept for good.
    network = test_loadreports.Network(2)
    add_report(network, 'n0', 'e0', counts(10, 5))
    network.exchange(1200)
    for name, node in network.nodes.items():
        add_report(network, name, 'e1', {'s1': messages.FailureSample(1, 0)})
        totals = node.failures
        assert not totals.published.keys() - {'s1'}
        assert not totals.local.keys() - {'s1'}
        assert 'e0' not in totals.entries


def test_unchanged_shares_are_not_sent_again():
    # Guards against load summaries that grow with each request.
    network = test_loadreports.Network(1)
    rng = random.Random(1)
    sent = 0
    number = 0
    for step in range(600):
        failed = sum(rng.random() < 0.2 for _ in range(4))
        add_report(network, 'n0', f'e{step % 9}', counts(4, failed))
        network.now += 0.1
        summary = network.summary('n0', since=number)
        sent += bool(summary.failures)
        number = summary.number
    assert 10 <= sent <= 200


def test_servers_without_a_stated_pace_are_not_reported():
    # Guards against reports that grow where servers state no pace.
    placement = make_placement(paced=False)
    attempt(placement, 's0', 0.0, failed=True)
    report = placement.load_report('e0', {}, 0.0)
    assert b'failures' not in messages.encode(report)
    node = decisions.LoadAggregator('n0')
    node.add_report(report, 0.0)
    assert b'failures' not in messages.encode(node.node_load(0.1))
    reply = messages.WatchReply('done', loads=node.summary_for('e1', 0, 0.1))
    assert b'failures' not in messages.encode(reply)


def test_without_a_stated_pace_decisions_do_not_change():
    # Guards against changed decisions where servers state no pace.
    results = []
    for sharing in (True, False):
        load = plainload.PlainLoad(
            5, sharing=sharing, entries=9, per_s=60.0, paced=False
        )
        results.append(attrs.asdict(load.run(20.0)))
        results[-1]['random'] = load.rng.random()
    assert results[0] == results[1]


def test_samples_in_messages_are_decoded():
    samples = counts(3.5, 1.25)
    report = messages.LoadReport('e0', {}, [], failures=samples)
    assert messages.decode(messages.encode(report)) == report
    summary = messages.LoadSummary(1, {}, [], failures=samples)
    reply = messages.WatchReply('done', loads=summary)
    assert messages.decode(messages.encode(reply)) == reply


def test_reported_failures_enable_a_service():
    # Guards against entries whose first requests go to a failing server.
    placement = make_placement(paced=False)
    apply_summary(placement, counts(20, 10), 0.0)
    assert placement.server_speeds.services == {SERVICE}
    assert 's0' not in choose(placement, 0.1)


def test_failures_are_reported_first_within_a_budget():
    # Guards against reports that outgrow the budget of control traffic.
    placement = decisions.Placement(random.Random(1))
    placement.update(
        [
            messages.ListedBackend(f's{n}', SERVICE, f'10.0.0.{n}:80', '', 6)
            for n in range(60)
        ]
    )
    placement.server_speeds.record_pace(SERVICE, 's0', 1.0, 0.0)
    size = attempts = 0
    for step in range(200):
        now = step * 0.1
        for ident in placement.backends:
            attempt(placement, ident, now)
        if step % 10 == 0:
            attempt(placement, 's59', now, failed=True)
        report = placement.load_report('e0', {}, now)
        if step % 10 == 0:
            assert report.failures['s59'].failures
        size += len(messages.encode(report))
        size -= len(messages.encode(attrs.evolve(report, failures={})))
        attempts += sum(s.attempts for s in (report.failures or {}).values())
    # 200 bytes a second, and the bytes saved up before.
    assert size <= 20 * 200 + 400
    assert attempts > 0.3 * 200 * 60


SEEDS = (1, 2, 3)


@pytest.mark.parametrize('seed', SEEDS)
def test_fewer_requests_fail_as_entries_share_failures(seed):
    # Guards against a failing server that each entry has to find by itself.
    alone = plainload.PlainLoad(seed, sharing=False).run(40.0)
    shared = plainload.PlainLoad(seed).run(40.0)
    assert shared.second_attempts <= 0.4 * alone.second_attempts
    assert shared.failed_once <= 0.2 * alone.failed_once
    assert shared.failed_repeatable <= alone.failed_repeatable
    assert shared.p95_s <= 1.15 * alone.p95_s


@pytest.mark.parametrize('at_most_once', [0.0, 0.4, 1.0])
def test_a_failing_server_is_probed_and_used_once_it_recovers(at_most_once):
    # Guards against a server that is starved of all samples.
    load = plainload.PlainLoad(
        1, failing=((0.0, 0.2), (20.0, 0.0)), at_most_once=at_most_once
    )
    result = load.run(45.0)
    mean = result.requests / 45 / plainload.SERVERS
    server = load.first
    for start_s in range(0, 20, 10):
        assert result.arrived(server, start_s, start_s + 10) >= 1
    assert result.arrived(server, 5, 20) < 0.35 * 15 * mean
    assert result.arrived(server, 32, 45) > 0.7 * 13 * mean


@pytest.mark.parametrize('share', [0.05, 0.2, 1.0])
def test_a_server_that_begins_to_fail_is_avoided_within_seconds(share):
    load = plainload.PlainLoad(2, failing=((10.0, share),))
    result = load.run(30.0)
    before = result.arrived(load.first, 5, 10) / 5
    assert result.arrived(load.first, 13, 30) / 17 < 0.75 * before


def test_without_control_failures_are_no_more_than_alone():
    # Guards against shares that mislead entries while control is away.
    away = {'reachable': lambda now: not 10 <= now < 16}
    alone = plainload.PlainLoad(1, sharing=False, **away).run(40.0)
    shared = plainload.PlainLoad(1, **away).run(40.0)
    assert shared.failed_once <= 0.5 * alone.failed_once
    assert shared.second_attempts <= 0.6 * alone.second_attempts


def test_lost_reports_lose_samples_only():
    # Guards against a share that grows or sticks as reports are lost.
    rng = random.Random(7)
    load = plainload.PlainLoad(
        1,
        failing=((0.0, 0.2), (20.0, 0.0)),
        reachable=lambda now: rng.random() < 0.5,
    )
    alone = plainload.PlainLoad(
        1, sharing=False, failing=((0.0, 0.2), (20.0, 0.0))
    ).run(40.0)
    result = load.run(40.0)
    assert result.failed_once <= 0.4 * alone.failed_once
    mean = result.requests / 40 / plainload.SERVERS
    assert result.arrived(load.first, 32, 40) > 0.7 * 8 * mean
