"""Speed samples in load reports, and the slowness that control sends."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages
from tests import test_loadreports


def sample_report(entry, **slowness):
    samples = {
        ident: messages.SpeedSample(1.0, value)
        for ident, value in slowness.items()
    }
    return messages.LoadReport(entry, {}, [], samples=samples)


def feed(network, seconds, name='n0', **slowness):
    """Report one second of reading per second for each engine."""
    for _ in range(seconds):
        node = network.nodes[name]
        node.add_report(sample_report('e', **slowness), network.now)
        network.exchange(20)


@pytest.mark.parametrize('loss', [0.0, 0.4])
def test_each_sample_counts_once_at_all_processes(loss):
    # Guards against samples that are lost or doubled with a message.
    network = test_loadreports.Network(4, loss=loss)
    reference = decisions.LoadAggregator('reference')
    for _ in range(12):
        report = sample_report('e', i1=2.0, i2=0.5)
        network.nodes['n0'].add_report(report, network.now)
        reference.add_report(report, network.now)
        network.exchange(20)
    expected = reference.summary_for('', 0, network.now).slowness
    for name in network.nodes:
        slowness = network.summary(name).slowness
        assert slowness == pytest.approx(expected, abs=0.2)


def test_samples_of_several_processes_add_up():
    network = test_loadreports.Network(2)
    for _ in range(20):
        for name, value in (('n0', 3.0), ('n1', 1.0)):
            network.nodes[name].add_report(
                sample_report(f'e-{name}', i1=value), network.now
            )
        network.exchange(20)
    for name in network.nodes:
        assert network.summary(name).slowness['i1'] == pytest.approx(1.9, 0.1)


def test_only_changed_values_are_sent():
    network = test_loadreports.Network(1)
    feed(network, 20, i1=2.0, i2=1.0)
    summary = network.summary('n0')
    assert summary.slowness == {'i1': pytest.approx(1.9, 0.1), 'i2': 1.0}
    feed(network, 2, i1=2.0, i2=1.0)
    assert network.summary('n0', since=summary.number).slowness == {}
    feed(network, 20, i1=2.0, i2=2.0)
    later = network.summary('n0', since=summary.number)
    assert later.slowness.keys() == {'i2'}


def test_an_engine_without_reports_is_dropped():
    # Guards against figures of engines that are gone, kept for good.
    network = test_loadreports.Network(2)
    feed(network, 10, i1=2.0)
    number = network.summary('n1').number
    feed(network, 260, i2=1.0)
    for name in network.nodes:
        assert network.summary(name).slowness.keys() == {'i2'}
    assert network.summary('n1', since=number).slowness['i1'] == 1.0


def test_a_restarted_process_learns_the_slowness_from_the_others():
    network = test_loadreports.Network(2)
    feed(network, 20, i1=2.0)
    network.start('n1')
    network.exchange(20)
    feed(network, 1, i1=2.0)
    assert network.summary('n1').slowness['i1'] > 1.7


@pytest.mark.parametrize('streams_per_s', [0.3, 2.0, 11.0])
def test_samples_add_at_most_a_tenth_to_load_reports(streams_per_s):
    # Guards against load reports that outgrow the budget of control traffic.
    rng = random.Random(1)
    placement = decisions.Placement(random.Random(1))
    placement.update(
        [
            messages.ListedBackend(
                f'i-{n:010x}', 'model-a', f'10.0.0.{n}:80', 'dc0', 16
            )
            for n in range(90)
        ]
    )
    engines = list(placement.backends.values())
    placement.server_speeds.record_pace('model-a', engines[0].ident, 1.0, 0.0)
    placement.speeds.record_run('model-a', 1.0, 0.0)
    traffic = {'model-a': messages.ServiceTraffic(10, 1)}
    sizes = {True: 0, False: 0}
    sampled = reported = 0.0

    def report(now):
        nonlocal reported
        report = placement.load_report('e1', traffic, now)
        reported += sum(s.expected_s for s in report.samples.values())
        sizes[True] += len(messages.encode(report))
        object.__setattr__(report, 'samples', {})
        sizes[False] += len(messages.encode(report))

    ends = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(streams_per_s)
        for engine in [e for at, e in ends if at <= now]:
            placement.stream_ended(engine, 0)
            report(now)
        ends = [(at, e) for at, e in ends if at > now]
        engine = rng.choice(engines)
        placement.stream_started(engine, 8000)
        report(now)
        placement.prompt_read(engine, 8000)
        sample = messages.SpeedSample(1.1, 1.3)
        placement.server_speeds.record_read(
            'model-a', engine.ident, sample, now
        )
        sampled += sample.expected_s
        report(now)
        ends.append((now + 8.0, engine))
    assert sizes[True] <= 1.1 * sizes[False]
    assert reported >= 0.8 * sampled
