"""Tests of how callers are spread over entries of different capacity."""

import collections

import attrs
import pytest

from bulrushhold import control
from bulrushhold import decisions
from bulrushhold import messages

CALLERS = [f'10.9.{n // 250}.{n % 250}' for n in range(6000)]


def make_entries(count, small=3, weight=0.375):
    """Return entries, each ``small``-th of them with a third of the weight."""
    return [
        messages.ListedEntry(
            f'e{n}',
            'dc',
            f'c{n}',
            True,
            weight=weight * (3 - 2 * (not n % small)),
        )
        for n in range(count)
    ]


def choose(entries, caller, limit=64):
    chosen = decisions.choose_entries(entries, entries, caller, limit)
    return {entry.name for entry in chosen}


def count_callers(entries):
    shares = collections.Counter()
    for caller in CALLERS:
        chosen = choose(entries, caller)
        for name in chosen:
            shares[name] += 1 / len(chosen)
    return shares


@pytest.mark.parametrize('count', [9, 300])
def test_entries_get_callers_by_their_capacity(count):
    entries = make_entries(count)
    shares = count_callers(entries)
    small = [shares[e.name] for e in entries if e.weight < 1.0]
    large = [shares[e.name] for e in entries if e.weight > 1.0]
    ratio = (sum(small) / len(small)) / (sum(large) / len(large))
    assert ratio == pytest.approx(1 / 3, abs=0.06)
    # The spread of six standard deviations of a binomial distribution.
    for group in (small, large):
        mean = sum(group) / len(group)
        assert max(abs(share - mean) for share in group) < 6 * mean**0.5


@pytest.mark.parametrize('count', [9, 300])
def test_lists_stay_as_one_entry_comes_goes_or_changes(count):
    # Guards against callers who leave open connections, as all lists change.
    entries = make_entries(count)
    changed = attrs.evolve(entries[1], load_factor=0.5)
    for others in (
        entries[:1] + entries[2:],
        [changed, *entries[2:], entries[0]],
    ):
        for caller in CALLERS[:300]:
            before, after = choose(entries, caller), choose(others, caller)
            assert len(before ^ after) <= 2
            if entries[1].name not in before:
                assert before == after


def test_few_addresses_are_never_too_few():
    # Guards against a caller whose only entry fails.
    entries = make_entries(300, weight=0.125)
    big = attrs.evolve(entries[0], weight=100.0)
    for listed, least in ((entries[:3], 3), (entries[:9], 4), (entries, 8)):
        listed = [big, *listed[1:]]
        assert all(len(choose(listed, c)) >= least for c in CALLERS[:50])
        assert len(choose(listed, 'c', 2)) == 2


def test_an_entry_with_a_disk_counts_as_the_mean_and_has_no_vote():
    entries = make_entries(9)
    disk = attrs.evolve(entries[0], weight=50.0, has_disk=True)
    assert not decisions.weights_differ([disk, *entries[1:3]])
    assert decisions.weights_differ([disk, *entries])
    shares = count_callers([disk, *entries[1:]])
    mean = sum(e.weight for e in entries[1:]) / 8
    assert shares['e0'] / shares['e1'] == pytest.approx(mean / 1.125, abs=0.06)


@pytest.mark.parametrize(
    ('cores', 'memory_mb', 'link_mbps', 'weight'),
    [
        (0, 0, 0, 1.0),
        (0.387, 128, 100, 0.375),
        (1.38, 260, 100, 1.375),
        (1.38, 260, 3.75, 0.75),
        (1.38, 70, 100, 0.125),
    ],
)
def test_the_scarcest_resource_decides(cores, memory_mb, link_mbps, weight):
    found = decisions.entry_capacity(cores, memory_mb << 20, link_mbps)
    assert found == weight


def test_an_overloaded_entry_halves_its_weight_until_it_is_not():
    factor = decisions.LoadFactor()
    loads = [0.9, 0.9, 0.9, 0.5, 0.9, 0.9, 0.9, 0.7, 0.7, 0.5, 0.5, 0.5, 0.5]
    values = []
    for number, load in enumerate(loads):
        factor.update(load, number / 2)
        values.append(factor.value)
    assert values == [1.0, 1.0, *[0.5] * 7, *[0.75] * 2, *[1.0] * 2]


def test_a_change_of_weight_alone_is_published_once_a_second():
    # Guards against the whole list being sent for each change of a weight.
    registry = control.EntryRegistry()
    registry.begin_term(1, 0.0)
    entry = messages.ListedEntry('e1', 'dc', '10.0.1.1:80', True)
    registry.refresh(entry, 1.6)
    versions = []
    for tenth in range(30):
        now = 2.0 + tenth / 10
        halved = attrs.evolve(entry, load_factor=(0.5, 1.0)[tenth % 2])
        assert not registry.refresh(halved, now)
        versions.append(registry.version(now))
    assert len(set(versions)) == 3
    assert registry.entries() == [halved]
