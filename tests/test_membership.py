"""SWIM membership of entries under failures and partitions."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports
from tests import conftest


class EntryGroup:
    """Simulated entries that probe each other once per period."""

    def __init__(self, count, seed=1):
        self.instances = [
            ports.Instance(f'e{n}', f'd{n % 3}', f'1:{n}', f'2:{n}')
            for n in range(count)
        ]
        self.now = 0.0
        self.blocked_links = set()
        self.stopped = set()
        self.messages = dict.fromkeys((e.name for e in self.instances), 0)
        self.bytes = 0
        self.members = {}
        for number, entry in enumerate(self.instances):
            self.start(entry.name, 1, random.Random(seed * 1000 + number))

    def start(self, name, incarnation, rng):
        member = decisions.Membership(name, incarnation, rng)
        member.update_instances(self.instances)
        self.members[name] = member

    def can_reach(self, one, other):
        return (
            one not in self.stopped
            and other not in self.stopped
            and (one, other) not in self.blocked_links
        )

    def probe(self, one, other):
        """Exchange a probe and its reply; return whether both arrived."""
        updates = self.members[one].take_updates()
        self.count(one, messages.Probe(updates))
        if not self.can_reach(one, other):
            return False
        self.members[other].apply_updates(updates, self.now)
        answer = self.members[other].take_updates()
        self.count(other, messages.ProbeReply(True, answer))
        if not self.can_reach(other, one):
            return False
        self.members[one].apply_updates(answer, self.now)
        return True

    def count(self, name, message):
        self.messages[name] += 1
        self.bytes += len(messages.encode(message))

    def run_period(self):
        self.now += 1.0
        for name, member in self.members.items():
            if name in self.stopped:
                continue
            target = member.next_target()
            if self.probe(name, target.name):
                member.answered(target.name, self.now)
            elif not any(
                self.probe(name, helper.name)
                and self.probe(helper.name, target.name)
                for helper in member.helpers(target.name)
            ):
                member.unanswered(target.name, self.now)
            member.tick(self.now)

    def usable_by(self, name):
        return {
            n
            for n, member in self.members.items()
            if n not in self.stopped and n != name and member.usable(name)
        }


def group_with_dead_entry(name):
    """Return a group that has declared one of its entries dead."""
    group = EntryGroup(10)
    for _ in range(8):
        group.run_period()
    group.stopped.add(name)
    for _ in range(8):
        group.run_period()
    return group


def test_dead_entry_becomes_unusable_everywhere():
    group = EntryGroup(10)
    group.run_period()
    group.stopped.add('e3')
    for _ in range(8):
        group.run_period()
    assert not group.usable_by('e3')
    for other in group.members:
        if other != 'e3':
            assert len(group.usable_by(other)) == 8


def test_restarted_entry_rejoins_at_the_same_address():
    group = group_with_dead_entry('e3')
    group.stopped.clear()
    group.start('e3', 2, random.Random(5))
    for _ in range(8):
        group.run_period()
    assert len(group.usable_by('e3')) == 9


@pytest.mark.parametrize('both_ways', [False, True])
def test_link_failure_between_two_entries_marks_neither_dead(both_ways):
    # The two entries can't reach each other, but indirect probes succeed.
    group = EntryGroup(10)
    group.blocked_links.add(('e1', 'e2'))
    if both_ways:
        group.blocked_links.add(('e2', 'e1'))
    for _ in range(30):
        group.run_period()
    assert len(group.usable_by('e1')) == 9
    assert len(group.usable_by('e2')) == 9


def test_suspended_entry_refutes_its_death():
    group = group_with_dead_entry('e3')
    group.stopped.clear()
    for _ in range(12):
        group.run_period()
    assert len(group.usable_by('e3')) == 9
    assert group.members['e3'].incarnation > 1


def test_membership_recovers_from_a_partition():
    group = EntryGroup(10)
    names = list(group.members)
    for one in names[:5]:
        for other in names[5:]:
            group.blocked_links |= {(one, other), (other, one)}
    for _ in range(15):
        group.run_period()
    assert not group.members['e0'].usable('e9')
    group.blocked_links.clear()
    for _ in range(25):
        group.run_period()
    assert all(len(group.usable_by(name)) == 9 for name in names)


def test_message_load_does_not_grow_with_group_size():
    loads = {}
    for count in (10, 100):
        group = EntryGroup(count)
        for _ in range(10):
            group.run_period()
        loads[count] = max(group.messages.values()) / 10
    assert loads[100] <= 2 * loads[10] + 4


async def test_draining_entry_is_unlisted_at_once(
    make_system,
):
    system = await make_system(entries=3)
    leaving = system.entries['e1']
    other = system.entries['e2']
    assert 'e1' in {entry.name for entry in other.view.listed()}
    await leaving.drain()
    await conftest.wait_until(
        lambda: 'e1' not in {e.name for e in other.view.listed()}
    )


def test_listeners_learn_of_a_restart_without_a_status_change():
    # A restarted entry has lost what it stored, though it never seemed dead.
    group = EntryGroup(3)
    group.run_period()
    changes = []
    group.members['e1'].listeners.append(
        lambda instance, restarted: changes.append((instance.name, restarted))
    )
    group.start('e2', 2, random.Random(5))
    group.members['e1'].apply_updates(
        [group.members['e2'].own_update()], group.now
    )
    assert changes == [('e2', True)]


def test_listeners_learn_of_a_silent_member_that_has_not_restarted():
    member = EntryGroup(3).members['e1']
    changes = []
    member.listeners.append(lambda *change: changes.append(change[1]))
    member.unanswered('e2', 1.0)
    member.tick(10.0)
    assert changes == [False, False]
