"""Load reports: aggregation in one process and exchange between processes."""

import itertools
import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bulrushhold import decisions
from bulrushhold import messages

STEP_S = 0.05
CRASH = messages.CrashReport('request', 'i1')


def report(entry, *engines, **events):
    loads = {ident: messages.EngineLoad(1000, 1) for ident in engines}
    return messages.LoadReport(entry, loads, events.pop('lost', []), **events)


class Network:
    """Control processes that exchange sums over lossy links."""

    def __init__(self, count, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.sent = 0
        self.partitioned = set()
        self.incarnations = itertools.count(1)
        self.nodes = {}
        for number in range(count):
            self.start(f'n{number}')

    def start(self, name):
        self.nodes[name] = decisions.LoadAggregator(
            name, f'dc-{name}', next(self.incarnations)
        )

    def exchange(self, times=1):
        for _ in range(times):
            self.now += STEP_S
            for node in self.nodes.values():
                node.expire(self.now)
            loads = [n.node_load(self.now) for n in self.nodes.values()]
            for load in loads:
                self._send(load)

    def _send(self, load):
        for name, node in self.nodes.items():
            if name == load.node or load.node in self.partitioned:
                continue
            if name in self.partitioned:
                continue
            self.sent += 1
            if self.rng.random() >= self.loss:
                node.add_node_load(load, self.now)

    def summary(self, name, entry='nobody', since=0):
        return self.nodes[name].summary_for(entry, since, self.now)


@pytest.fixture
def network():
    return Network(5)


def test_a_summary_is_the_sum_of_all_other_entries(network):
    for number, name in enumerate(network.nodes):
        node = network.nodes[name]
        node.add_report(
            report(f'e{number}', 'i1', f'i{number}-own'), network.now
        )
    network.exchange()
    for number, name in enumerate(network.nodes):
        summary = network.summary(name, f'e{number}')
        assert summary.engines['i1'].running == 4
        assert f'i{number}-own' not in summary.engines


@pytest.mark.parametrize('seed', range(8))
def test_events_are_delivered_over_lossy_links(seed):
    """Guards against events that reach only some data centres."""
    network = Network(5, seed, loss=0.5)
    network.exchange(5)
    reported_at = network.now
    network.nodes['n0'].add_report(
        report('e1', lost=['i1'], replaced=['i2'], crashes=[CRASH]),
        network.now,
    )
    network.exchange(25)
    age_s = network.now - reported_at
    for name in network.nodes:
        summary = network.summary(name)
        assert summary.lost == ['i1']
        assert summary.replaced == ['i2']
        (crash,) = summary.crashes
        assert attrs.evolve(crash, age_s=0.0) == CRASH
        assert crash.age_s == pytest.approx(age_s, abs=STEP_S)


def test_acknowledged_events_are_not_sent_again(network):
    network.exchange(2)
    network.nodes['n0'].add_report(report('e1', lost=['i1']), network.now)
    network.exchange(3)
    assert network.nodes['n0'].node_load(network.now).sum.lost == []


def test_an_event_after_a_process_restart_is_new(network):
    """Guards against ignored events: a restart resets their numbers."""
    network.nodes['n0'].add_report(report('e1', 'i1'), network.now)
    for number in range(9):
        network.nodes['n0'].add_report(report('e1', f'i{number}'), network.now)
    network.exchange(2)
    known_number = network.summary('n1').number
    network.start('n0')
    network.nodes['n0'].add_report(report('e1', lost=['i7']), network.now)
    network.exchange(2)
    assert network.summary('n1', since=known_number).lost == ['i7']


def test_the_load_of_a_partitioned_data_centre_counts_until_it_expires(
    network,
):
    """Guards against prompts for engines that only seem to be idle."""
    for number, name in enumerate(network.nodes):
        network.nodes[name].add_report(report(f'e{number}', 'i1'), 0.0)
    network.exchange(4)
    network.partitioned = {'n0'}
    network.exchange(20)
    summary = network.summary('n1')
    assert summary.silent == ['dc-n0']
    assert summary.engines['i1'].running == 5
    network.exchange(30)
    summary = network.summary('n1')
    assert summary.silent == ['dc-n0']
    assert summary.engines['i1'].running == 4


def test_a_summary_reports_the_age_of_its_oldest_sum(network):
    network.exchange(4)
    assert network.summary('n1').age_s <= STEP_S
    network.partitioned = {'n0'}
    network.exchange(8)
    assert network.summary('n1').age_s == pytest.approx(8 * STEP_S)


def test_message_count_does_not_depend_on_the_number_of_entries():
    counts = []
    for entries in (5, 50, 500):
        network = Network(5)
        for number in range(entries):
            node = network.nodes[f'n{number % 5}']
            node.add_report(report(f'e{number}', 'i1'), 0.0)
        network.exchange(10)
        counts.append(network.sent)
        size = len(messages.encode(network.nodes['n0'].node_load(0.0)))
        assert size < 2000
    assert len(set(counts)) == 1


class LoadExchange(stateful.RuleBasedStateMachine):
    """Compares the summaries of all processes with the actual load."""

    def __init__(self):
        super().__init__()
        self.network = Network(3, loss=0.2)
        self.engine_by_entry = {}

    @stateful.rule(
        entry=strategies.integers(0, 5),
        engine=strategies.integers(0, 3),
        at=strategies.integers(0, 2),
    )
    def start_stream(self, entry, engine, at):
        name = f'e{entry}'
        for node in self.network.nodes.values():
            node.remove_report(name)
        self.engine_by_entry[name] = f'i{engine}'
        self.network.nodes[f'n{at}'].add_report(
            report(name, f'i{engine}'), self.network.now
        )

    @stateful.rule(entry=strategies.integers(0, 5))
    def end_stream(self, entry):
        self.engine_by_entry.pop(f'e{entry}', None)
        for node in self.network.nodes.values():
            node.remove_report(f'e{entry}')

    @stateful.rule(at=strategies.integers(0, 2))
    def partition(self, at):
        self.network.partitioned = {f'n{at}'}

    @stateful.rule()
    def end_partition(self):
        self.network.partitioned = set()

    @stateful.rule(times=strategies.integers(1, 30))
    def exchange(self, times):
        self.network.exchange(times)

    @stateful.rule(at=strategies.integers(0, 2))
    def restart(self, at):
        lost = self.network.nodes[f'n{at}'].reports
        self.network.start(f'n{at}')
        for name in lost:
            self.engine_by_entry.pop(name, None)

    @stateful.rule()
    def converge(self):
        self.network.partitioned = set()
        self.network.loss = 0.0
        self.network.exchange(3)
        expected = {}
        for engine in self.engine_by_entry.values():
            expected[engine] = expected.get(engine, 0) + 1
        for name in self.network.nodes:
            summary = self.network.summary(name)
            found = {i: load.running for i, load in summary.engines.items()}
            assert found == expected
            assert summary.silent == []
        self.network.loss = 0.2


LoadExchange.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
test_summaries_converge_to_the_actual_load = LoadExchange.TestCase


def test_load_that_moves_between_entries_is_reported_to_both(network):
    """Guards against omitting engines whose total load is unchanged."""
    node = network.nodes['n0']
    node.add_report(report('e1', 'i1'), 0.0)
    node.add_report(report('e2'), 0.0)
    summaries = {}
    for entry in ('e1', 'e2'):
        summaries[entry] = network.summary('n0', entry)
    node.add_report(report('e1'), 0.0)
    node.add_report(report('e2', 'i1'), 0.0)
    first = network.summary('n0', 'e1', summaries['e1'].number)
    second = network.summary('n0', 'e2', summaries['e2'].number)
    assert first.engines['i1'].running == 1
    assert second.engines['i1'].running == 0


def test_only_changed_loads_are_sent(network):
    """Guards against sending loads that haven't changed."""
    node = network.nodes['n0']
    node.add_report(report('e1', *(f'i{n}' for n in range(200))), 0.0)
    network.exchange(3)
    known_number = network.summary('n1').number
    node.add_report(report('e2', 'i7'), 0.0)
    size = len(messages.encode(node.node_load(network.now)))
    assert size < 400
    network.exchange(1)
    summary = network.summary('n1', since=known_number)
    assert summary.engines == {'i7': messages.EngineLoad(2000, 2)}
    assert len(messages.encode(summary)) < 300


# Evidence about rollouts


def evidence(received, *samples, number=1):
    return {
        'engines': messages.RolloutEvidence(
            number, received, 0, [messages.VersionSample(*s) for s in samples]
        )
    }


def test_evidence_reaches_a_process_that_missed_earlier_sums(network):
    # A leader without entries gets few sums, and loads are differences to
    # those that other processes have acknowledged.
    sender, leader = network.nodes['n0'], network.nodes['n1']
    for received in range(1, 8):
        network.now += STEP_S
        sender.add_report(
            report('e0', evidence=evidence(received, ('r', '', received))),
            network.now,
        )
        load = sender.node_load(network.now)
        network.nodes['n2'].add_node_load(load, network.now)
        sender.add_node_load(network.nodes['n2'].node_load(network.now), 0.0)
    leader.add_node_load(sender.node_load(network.now), network.now)
    assert leader.evidence() == evidence(7, ('r', '', 7))


@pytest.mark.parametrize('seed', range(5))
def test_evidence_is_the_sum_of_the_newest_reports(seed):
    network = Network(3, seed)
    rng = random.Random(seed)
    newest = {}
    for _ in range(60):
        entry = f'e{rng.randrange(6)}'
        node = network.nodes[f'n{int(entry[1:]) % 3}']
        if rng.random() < 0.1:
            newest.pop(entry, None)
            node.remove_report(entry)
        else:
            count = newest[entry] = newest.get(entry, 0) + 1
            sample = ('r', f'i{entry}', count, count // 2, {count % 5: count})
            node.add_report(
                report(entry, evidence=evidence(count, sample)), network.now
            )
        network.exchange()
    for node in network.nodes.values():
        total = node.evidence()['engines']
        assert total.received == sum(newest.values())
        assert {s.engine: s.requests for s in total.samples} == {
            f'i{entry}': count for entry, count in newest.items()
        }


def test_evidence_of_an_earlier_rollout_is_dropped(network):
    node = network.nodes['n0']
    node.add_report(report('e0', evidence=evidence(5, ('r', '', 5))), 0.0)
    second = evidence(1, ('r', '', 1), number=2)
    node.add_report(report('e1', evidence=second), 0.0)
    assert node.evidence() == second
    node.add_report(report('e0', evidence=second), 0.0)
    assert node.evidence()['engines'].received == 2


def limit_report(entry, per_s, age_s=0.0):
    limit = messages.ServerLimit('s1', per_s, age_s)
    return messages.LoadReport(entry, {}, [], limits=[limit])


def test_a_limit_reaches_other_entries_once_and_with_its_age():
    aggregator = decisions.LoadAggregator()
    assert aggregator.add_report(limit_report('e1', 2.6, 0.1), 10.0)
    assert not aggregator.add_report(limit_report('e2', 2.6), 10.1)
    summary = aggregator.summary_for('e3', 0, 10.5)
    assert summary.limits == [messages.ServerLimit('s1', 2.6, 0.6)]
    assert aggregator.summary_for('e3', summary.number, 10.6).limits == []


def test_a_limit_that_is_repeated_after_its_end_is_not_passed_on():
    # Guards against an old limit that control processes repeat to each other.
    aggregator = decisions.LoadAggregator()
    aggregator.add_report(limit_report('e1', 2.6), 10.0)
    assert aggregator.add_report(limit_report('e2', None), 10.5)
    assert not aggregator.add_report(limit_report('e3', 2.6, 0.6), 10.6)
    summary = aggregator.summary_for('e4', 0, 10.6)
    assert [limit.per_s for limit in summary.limits] == [2.6, None]
