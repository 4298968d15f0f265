"""Load reports: sums by control process, without a network and with one."""

import itertools
import random

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
    """Control processes that exchange sums over links that fail."""

    def __init__(self, count, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.sent = 0
        self.cut = set()
        self.starts = itertools.count(1)
        self.nodes = {}
        for number in range(count):
            self.start(f'n{number}')

    def start(self, name):
        self.nodes[name] = decisions.LoadAggregator(
            name, f'dc-{name}', next(self.starts)
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
            if name == load.node or load.node in self.cut:
                continue
            if name in self.cut:
                continue
            self.sent += 1
            if self.rng.random() >= self.loss:
                node.take_node(load, self.now)

    def summary(self, name, entry='nobody', since=0):
        return self.nodes[name].others(entry, since, self.now)


@pytest.fixture
def network():
    return Network(5)


def test_each_entry_gets_the_sum_of_all_others(network):
    for number, name in enumerate(network.nodes):
        node = network.nodes[name]
        node.take(report(f'e{number}', 'i1', f'i{number}-own'), network.now)
    network.exchange()
    for number, name in enumerate(network.nodes):
        summary = network.summary(name, f'e{number}')
        assert summary.engines['i1'].running == 4
        assert f'i{number}-own' not in summary.engines


@pytest.mark.parametrize('seed', range(8))
def test_events_arrive_over_links_that_lose_messages(seed):
    """Guards against a lost engine that only one data centre knows of."""
    network = Network(5, seed, loss=0.5)
    network.exchange(5)
    network.nodes['n0'].take(
        report('e1', lost=['i1'], replaced=['i2'], crashes=[CRASH]),
        network.now,
    )
    network.exchange(25)
    for name in network.nodes:
        summary = network.summary(name)
        assert summary.lost == ['i1']
        assert summary.replaced == ['i2']
        assert summary.crashes == [CRASH]


def test_acknowledged_events_are_not_sent_again(network):
    network.exchange(2)
    network.nodes['n0'].take(report('e1', lost=['i1']), network.now)
    network.exchange(3)
    assert network.nodes['n0'].node_load(network.now).sum.lost == []


def test_an_event_of_a_restarted_process_is_news(network):
    """Guards against events that look old since numbers begin anew."""
    network.nodes['n0'].take(report('e1', 'i1'), network.now)
    for number in range(9):
        network.nodes['n0'].take(report('e1', f'i{number}'), network.now)
    network.exchange(2)
    known = network.summary('n1').number
    network.start('n0')
    network.nodes['n0'].take(report('e1', lost=['i7']), network.now)
    network.exchange(2)
    assert network.summary('n1', since=known).lost == ['i7']


def test_a_data_centre_that_is_cut_off_is_not_taken_for_idle(network):
    """Guards against prompts for engines that only look idle."""
    for number, name in enumerate(network.nodes):
        network.nodes[name].take(report(f'e{number}', 'i1'), 0.0)
    network.exchange(4)
    network.cut = {'n0'}
    network.exchange(20)
    summary = network.summary('n1')
    assert summary.silent == ['dc-n0']
    assert summary.engines['i1'].running == 5
    network.exchange(30)
    summary = network.summary('n1')
    assert summary.silent == ['dc-n0']
    assert summary.engines['i1'].running == 4


def test_sums_say_how_old_they_are(network):
    network.exchange(4)
    assert network.summary('n1').age_s <= STEP_S
    network.cut = {'n0'}
    network.exchange(8)
    assert network.summary('n1').age_s == pytest.approx(8 * STEP_S)


def test_messages_grow_with_processes_and_not_with_entries():
    counts = []
    for entries in (5, 50, 500):
        network = Network(5)
        for number in range(entries):
            node = network.nodes[f'n{number % 5}']
            node.take(report(f'e{number}', 'i1'), 0.0)
        network.exchange(10)
        counts.append(network.sent)
        size = len(messages.encode(network.nodes['n0'].node_load(0.0)))
        assert size < 2000
    assert len(set(counts)) == 1


class Exchange(stateful.RuleBasedStateMachine):
    """Compares what processes believe with the truth once all settle."""

    def __init__(self):
        super().__init__()
        self.network = Network(3, loss=0.2)
        self.truth = {}

    @stateful.rule(
        entry=strategies.integers(0, 5),
        engine=strategies.integers(0, 3),
        at=strategies.integers(0, 2),
    )
    def run_there(self, entry, engine, at):
        name = f'e{entry}'
        for node in self.network.nodes.values():
            node.forget(name)
        self.truth[name] = f'i{engine}'
        self.network.nodes[f'n{at}'].take(
            report(name, f'i{engine}'), self.network.now
        )

    @stateful.rule(entry=strategies.integers(0, 5))
    def end(self, entry):
        self.truth.pop(f'e{entry}', None)
        for node in self.network.nodes.values():
            node.forget(f'e{entry}')

    @stateful.rule(at=strategies.integers(0, 2))
    def cut_off(self, at):
        self.network.cut = {f'n{at}'}

    @stateful.rule()
    def join(self):
        self.network.cut = set()

    @stateful.rule(times=strategies.integers(1, 30))
    def exchange(self, times):
        self.network.exchange(times)

    @stateful.rule(at=strategies.integers(0, 2))
    def restart(self, at):
        lost = self.network.nodes[f'n{at}'].reports
        self.network.start(f'n{at}')
        for name in lost:
            self.truth.pop(name, None)

    @stateful.rule()
    def settle(self):
        self.network.cut = set()
        self.network.loss = 0.0
        self.network.exchange(3)
        expected = {}
        for engine in self.truth.values():
            expected[engine] = expected.get(engine, 0) + 1
        for name in self.network.nodes:
            summary = self.network.summary(name)
            found = {i: load.running for i, load in summary.engines.items()}
            assert found == expected
            assert summary.silent == []
        self.network.loss = 0.2


Exchange.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
test_processes_believe_the_truth_once_reports_settle = Exchange.TestCase


def test_two_entries_that_swap_an_engine_see_each_other(network):
    """Guards against differences that miss what adds up to the same."""
    node = network.nodes['n0']
    node.take(report('e1', 'i1'), 0.0)
    node.take(report('e2'), 0.0)
    views = {}
    for entry in ('e1', 'e2'):
        views[entry] = network.summary('n0', entry)
    node.take(report('e1'), 0.0)
    node.take(report('e2', 'i1'), 0.0)
    first = network.summary('n0', 'e1', views['e1'].number)
    second = network.summary('n0', 'e2', views['e2'].number)
    assert first.engines['i1'].running == 1
    assert second.engines['i1'].running == 0


def test_a_small_change_is_a_small_message(network):
    """Guards against links that are full of loads that haven't changed."""
    node = network.nodes['n0']
    node.take(report('e1', *(f'i{n}' for n in range(200))), 0.0)
    network.exchange(3)
    known = network.summary('n1').number
    node.take(report('e2', 'i7'), 0.0)
    size = len(messages.encode(node.node_load(network.now)))
    assert size < 400
    network.exchange(1)
    summary = network.summary('n1', since=known)
    assert summary.engines == {'i7': messages.EngineLoad(2000, 2)}
    assert len(messages.encode(summary)) < 300
