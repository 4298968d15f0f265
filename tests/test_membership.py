"""Membership among entries, over random orders of probes and losses."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports
from tests import conftest


class Group:
    """Entries that probe each other in rounds of one period."""

    def __init__(self, count, seed=1):
        self.instances = [
            ports.Instance(f'e{n}', f'd{n % 3}', f'1:{n}', f'2:{n}')
            for n in range(count)
        ]
        self.now = 0.0
        self.cut = set()
        self.down = set()
        self.messages = dict.fromkeys((e.name for e in self.instances), 0)
        self.bytes = 0
        self.members = {}
        for number, entry in enumerate(self.instances):
            self.start(entry.name, 1, random.Random(seed * 1000 + number))

    def start(self, name, incarnation, rng):
        member = decisions.Membership(name, incarnation, rng)
        member.update_list(self.instances)
        self.members[name] = member

    def reaches(self, one, other):
        return (
            one not in self.down
            and other not in self.down
            and (one, other) not in self.cut
        )

    def ask(self, one, other):
        """A probe and its answer; false where either is lost."""
        told = self.members[one].tell()
        self.count(one, messages.Probe(told))
        if not self.reaches(one, other):
            return False
        self.members[other].hear(told, self.now)
        answer = self.members[other].tell()
        self.count(other, messages.ProbeReply(True, answer))
        if not self.reaches(other, one):
            return False
        self.members[one].hear(answer, self.now)
        return True

    def count(self, name, message):
        self.messages[name] += 1
        self.bytes += len(messages.encode(message))

    def period(self):
        self.now += 1.0
        for name, member in self.members.items():
            if name in self.down:
                continue
            target = member.next_target()
            if self.ask(name, target.name):
                member.answered(target.name, self.now)
            elif not any(
                self.ask(name, helper.name)
                and self.ask(helper.name, target.name)
                for helper in member.helpers(target.name)
            ):
                member.silent(target.name, self.now)
            member.tick(self.now)

    def who_use(self, name):
        return {
            n
            for n, member in self.members.items()
            if n not in self.down and n != name and member.usable(name)
        }


def group_without(name):
    """Return a group that has found one of its entries dead."""
    group = Group(10)
    for _ in range(8):
        group.period()
    group.down.add(name)
    for _ in range(8):
        group.period()
    return group


def test_a_dead_entry_is_given_to_nobody_within_seconds():
    group = Group(10)
    group.period()
    group.down.add('e3')
    for _ in range(8):
        group.period()
    assert not group.who_use('e3')
    for other in group.members:
        if other != 'e3':
            assert len(group.who_use(other)) == 8


def test_a_restart_under_the_same_address_is_taken_in_again():
    group = group_without('e3')
    group.down.clear()
    group.start('e3', 2, random.Random(5))
    for _ in range(8):
        group.period()
    assert len(group.who_use('e3')) == 9


@pytest.mark.parametrize('both_ways', [False, True])
def test_a_cut_between_two_entries_makes_nobody_dead(both_ways):
    # Two entries can't hear each other, but others reach both.
    group = Group(10)
    group.cut.add(('e1', 'e2'))
    if both_ways:
        group.cut.add(('e2', 'e1'))
    for _ in range(30):
        group.period()
    assert len(group.who_use('e1')) == 9
    assert len(group.who_use('e2')) == 9


def test_a_frozen_entry_refutes_its_death_on_waking():
    group = group_without('e3')
    group.down.clear()
    for _ in range(12):
        group.period()
    assert len(group.who_use('e3')) == 9
    assert group.members['e3'].incarnation > 1


def test_both_sides_of_a_healed_cut_find_each_other_again():
    group = Group(10)
    names = list(group.members)
    for one in names[:5]:
        for other in names[5:]:
            group.cut |= {(one, other), (other, one)}
    for _ in range(15):
        group.period()
    assert not group.members['e0'].usable('e9')
    group.cut.clear()
    for _ in range(25):
        group.period()
    assert all(len(group.who_use(name)) == 9 for name in names)


def test_the_load_of_an_entry_does_not_grow_with_their_number():
    loads = {}
    for count in (10, 100):
        group = Group(count)
        for _ in range(10):
            group.period()
        loads[count] = max(group.messages.values()) / 10
    assert loads[100] <= 2 * loads[10] + 4


async def test_a_draining_entry_is_unlisted_by_the_others_at_once(
    make_system,
):
    system = await make_system(entries=3)
    leaving = system.entries['e1']
    other = system.entries['e2']
    assert 'e1' in {entry.name for entry in other.view.listed()}
    await leaving.drain()
    await conftest.until(
        lambda: 'e1' not in {e.name for e in other.view.listed()}
    )
