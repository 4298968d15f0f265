"""Engines that some entries lose, and that answer again."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold.decisions import _reportedlosses
from bulrushhold import messages
from tests import test_loadreports as loadreports

ENTRIES = [f'e{n}' for n in range(390)]


@pytest.fixture
def network():
    return loadreports.Network(5)


def make_placement():
    placement = decisions.Placement(random.Random(1))
    placement.update(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', f'dc{n % 3}', 64
            )
            for n in range(6)
        ]
    )
    return placement


def lost_at(placement, now):
    return [backend.ident for backend in placement.recently_lost(now)]


def apply(placement, lost=(), answering=(), now=0.0):
    placement.apply_loads(
        messages.LoadSummary(1, {}, list(lost), answering=list(answering)), now
    )


def answers(placement, now=0.0):
    return placement.load_report('e1', {}, now).answering or []


def test_an_engine_that_answers_another_entry_counts_again():
    # Guards against seconds of probation at entries that had no stream there.
    placement = make_placement()
    apply(placement, ['i1', 'i2'])
    assert lost_at(placement, 0.5) == ['i1', 'i2']
    apply(placement, answering=['i1'], now=0.5)
    assert lost_at(placement, 0.5) == ['i2']
    assert answers(placement) == []


def test_an_engine_that_an_entry_has_lost_itself_stays_lost():
    # Guards against an entry that is cut off and told that engines answer.
    placement = make_placement()
    apply(placement, ['i1', 'i3'])
    placement.record_failure('i1', 0.2, unreachable=True)
    placement.record_failure('i2', 0.2, unreachable=True)
    apply(placement, ['i2'], now=1.5)
    apply(placement, answering=['i1', 'i2', 'i3'], now=1.6)
    assert lost_at(placement, 1.6) == ['i1', 'i2']
    assert placement.reported_to_probe('e1', 1.6) == []


def test_the_end_of_a_silence_is_reported_once_where_its_begin_was():
    placement = make_placement()
    for ident in ('i1', 'i2'):
        placement.record_failure(ident, 0.0, unreachable=True)
        placement.record_silence(ident, 0.0)
        if ident == 'i1':
            assert placement.load_report('e1', {}, 0.0).lost == ['i1']
    for ident in ('i1', 'i2'):
        placement.record_answer(ident, 0.5)
    report = placement.load_report('e1', {}, 0.5)
    assert (report.lost, report.answering) == ([], ['i1'])
    assert report.urgent
    assert answers(placement) == []
    placement.requeue_events(report)
    assert answers(placement) == ['i1']


def test_an_engine_that_is_lost_again_is_not_reported_as_answering():
    placement = make_placement()
    apply(placement, ['i1'])
    placement.record_reported_answer('i1')
    placement.record_failure('i1', 0.1, unreachable=True)
    report = placement.load_report('e1', {}, 0.1)
    assert report.lost == ['i1']
    assert not report.answering


def test_few_entries_probe_an_engine():
    # Guards against probes that grow with the number of entries.
    probed = []
    for entry in ENTRIES:
        losses = _reportedlosses.ReportedLosses()
        losses.entries = ENTRIES
        for number in range(200):
            losses.record(f'i{number}', 0.0)
        probed.append(losses.to_probe(entry, 0.0))
    assert sum(map(len, probed)) == 3 * 200
    assert max(map(len, probed)) <= 8
    assert {ident for idents in probed for ident in idents} == {
        f'i{number}' for number in range(200)
    }


@pytest.mark.parametrize('seed', range(8))
def test_answers_are_delivered_over_lossy_links(seed):
    network = loadreports.Network(5, seed, loss=0.5)
    network.exchange(5)
    first, second = network.nodes['n0'], network.nodes['n1']
    first.add_report(loadreports.report('e1', lost=['i1', 'i2']), network.now)
    network.exchange(20)
    second.add_report(loadreports.report('e2', answering=['i1']), network.now)
    network.exchange(15)
    for name in network.nodes:
        summary = network.summary(name)
        assert (summary.lost, summary.answering) == (['i2'], ['i1'])


def test_a_repeated_loss_does_not_undo_an_answer(network):
    # Guards against a loss that is sent until it is acknowledged.
    node = network.nodes['n0']
    node.add_report(loadreports.report('e1', lost=['i1']), 0.0)
    node.add_report(loadreports.report('e2', answering=['i1']), 0.4)
    assert not node.add_report(loadreports.report('e1', lost=['i1']), 0.6)
    summary = node.summary_for('e3', 0, 0.6)
    assert (summary.lost, summary.answering) == ([], ['i1'])
    assert node.add_report(loadreports.report('e1', lost=['i1']), 1.2)
    summary = node.summary_for('e3', 0, 1.2)
    assert (summary.lost, summary.answering or []) == (['i1'], [])
    assert node.add_report(loadreports.report('e2', answering=['i1']), 1.5)


def test_reports_without_answers_are_as_short_as_before(network):
    node = network.nodes['n0']
    node.add_report(loadreports.report('e1', lost=['i1']), 0.0)
    for message in (
        node.reports['e1'],
        node.summary_for('e2', 0, 0.0),
        node.node_load(0.0),
    ):
        assert b'answering' not in messages.encode(message)
