"""Tests of the homes that grant retries to entries."""

import random

from bulrushhold import decisions
from tests import retrypools


def test_an_entry_may_use_retries_that_others_leave_unused():
    # Guards against refused retries while most of the budget is unused.
    home = retrypools.make_home(retrypools.home_first('n0', 'n1')[0])
    assert home.grant(retrypools.ask(other=8, pool=148.0), 0.0).other == 8
    grant = home.grant(retrypools.ask(other=200, pool=148.0, entry='e2'), 0.1)
    assert retrypools.total(grant) == 110  # 0.8 of the pool in all.
    assert grant.hold_s > 0
    assert home.grant(retrypools.ask(begun=200, pool=148.0), 0.2).begun == 30
    assert retrypools.total(home.grant(retrypools.ask(1, 1, 148.0), 9.9)) == 0
    assert retrypools.total(home.grant(retrypools.ask(1, 1, 148.0), 10.9)) == 2


def test_a_home_that_has_just_started_grants_nothing_for_a_window():
    # Guards against a second budget after the home has restarted.
    address = retrypools.home_first('n0', 'n1')[0]
    home = retrypools.make_home(address, started_at=0.0)
    assert retrypools.total(home.grant(retrypools.ask(5, 5), 0.1)) == 0
    assert retrypools.total(home.grant(retrypools.ask(5, 5), 9.9)) == 0
    assert retrypools.total(home.grant(retrypools.ask(5, 5), 10.5)) == 10


def test_the_home_of_a_new_system_grants_at_once():
    # Guards against streams given up in the first window of a system.
    first, second = retrypools.home_first('n0', 'n1')
    for address, nodes in ((first, (first, second)), (second, (second,))):
        home = decisions.RetryHome(
            address, random.Random(1), 0.0, first_start=True
        )
        home.update_nodes(retrypools.make_nodes(*nodes), 0.5)
        assert retrypools.total(home.grant(retrypools.ask(5, 5), 1.6)) == 10


def copy_all(source, targets, now):
    for address, copy in source.copies([retrypools.SERVICE], now):
        if address in targets:
            targets[address].receive(copy, now)


def test_the_next_home_continues_the_record_of_a_lost_one():
    # Guards against a second budget, or none, after the home is lost.
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    assert (
        retrypools.total(homes[first].grant(retrypools.ask(300, 0), 1.0))
        == 300
    )
    copy_all(homes[first], homes, 1.2)
    homes[second].update_nodes(retrypools.make_nodes(second), 2.0)
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(300, 0), 2.1)) == 0
    )
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(300, 0), 3.1))
        == 100
    )
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(300, 0), 11.9))
        == 300
    )


def test_the_next_home_knows_grants_of_the_last_moment():
    # Guards against a second budget if a home is lost as it grants.
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    homes[first].grant(retrypools.ask(100, 0), 1.0)
    copy_all(homes[first], homes, 1.2)
    homes[first].grant(retrypools.ask(300, 0), 1.9)
    assert homes[first].next_home(retrypools.SERVICE) == second
    homes[second].record_granted(retrypools.SERVICE, 300, 1.9)
    homes[second].update_nodes(retrypools.make_nodes(second), 2.0)
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(300, 0), 3.1)) == 0
    )
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(300, 0), 11.9))
        == 100
    )


def test_a_grant_is_in_the_record_once_whatever_the_order_of_messages():
    # Guards against a budget that is used up by grants counted twice.
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    for now in (1.0, 1.3, 1.6, 2.5):
        homes[first].grant(retrypools.ask(50, 0), now)
        homes[second].record_granted(retrypools.SERVICE, 50, now)
        copy_all(homes[first], homes, now)
        copy_all(homes[second], homes, now)
    assert (
        retrypools.total(homes[first].grant(retrypools.ask(300, 0), 2.6))
        == 200
    )


def test_delayed_retries_are_delayed_in_the_record_of_the_next_home():
    # Guards against delays that are forgotten as the home is lost.
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    homes[first].grant(retrypools.ask(400, 0), 1.0)
    copy_all(homes[first], homes, 1.2)
    homes[first].record_delay(retrypools.SERVICE, 100, 4.0)
    copy_all(homes[first], homes, 4.1)
    copy_all(homes[second], homes, 4.2)
    homes[second].update_nodes(retrypools.make_nodes(second), 5.0)
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(400, 0), 11.9))
        == 300
    )


def test_a_home_without_the_record_of_the_one_before_grants_nothing():
    # Guards against a second budget if a home is lost with its copy.
    first, second = retrypools.home_first('n0', 'n1')
    home = retrypools.make_home(second)
    home.update_nodes(retrypools.make_nodes(second), 2.0)
    assert retrypools.total(home.grant(retrypools.ask(5, 5), 11.9)) == 0
    assert retrypools.total(home.grant(retrypools.ask(5, 5), 12.5)) == 10


def test_a_restarted_home_gets_the_record_back():
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    homes[first].grant(retrypools.ask(300, 0), 1.0)
    copy_all(homes[first], homes, 1.2)
    homes[first] = retrypools.make_home(first, started_at=2.0)
    copy_all(homes[second], homes, 2.5)
    assert (
        retrypools.total(homes[first].grant(retrypools.ask(300, 0), 3.1))
        == 100
    )


def test_summaries_name_the_entries_that_were_granted_most():
    home = retrypools.make_home(retrypools.home_first('n0', 'n1')[0])
    for entry, count in (('e1', 3), ('e2', 7)):
        home.grant(retrypools.ask(count, entry=entry), 1.0)
    (summary,) = home.take_summaries(2.0)
    assert (summary.granted, summary.pool, summary.entries) == (10, 400.0, 2)
    assert summary.most == {'e2': 7, 'e1': 3}
    assert home.take_summaries(2.0)[0].most == {}
    assert home.take_summaries(60.0) == []


def test_a_process_that_is_not_the_home_grants_nothing():
    # Guards against two homes while entries know different lists.
    assert (
        retrypools.total(
            retrypools.make_home(retrypools.home_first('n0', 'n1')[1]).grant(
                retrypools.ask(1, 1), 0
            )
        )
        == 0
    )


def test_an_isolated_home_grants_nothing_until_it_has_the_record():
    # Guards against two homes after a control process was cut off.
    first, second = retrypools.home_first('n0', 'n1')
    homes = {a: retrypools.make_home(a) for a in (first, second)}
    homes[first].grant(retrypools.ask(100, 0), 1.0)
    copy_all(homes[first], homes, 1.2)
    homes[second].update_nodes(retrypools.make_nodes(second), 2.0)
    assert (
        retrypools.total(homes[second].grant(retrypools.ask(200, 0), 3.5))
        == 200
    )
    homes[first].record_isolation(5.0)
    assert (
        retrypools.total(homes[first].grant(retrypools.ask(300, 0), 5.1)) == 0
    )
    homes[second].update_nodes(retrypools.make_nodes(first, second), 5.2)
    copy_all(homes[second], homes, 5.3)
    assert (
        retrypools.total(homes[first].grant(retrypools.ask(300, 0), 6.1))
        == 100
    )


def test_granted_retries_that_wait_for_servers_count_as_they_are_sent():
    # Guards against granted retries that arrive with those granted later.
    home = retrypools.make_home(retrypools.home_first('n0', 'n1')[0])
    assert retrypools.total(home.grant(retrypools.ask(400), 0.0)) == 400
    home.record_delay(retrypools.SERVICE, 100, 3.0)
    assert retrypools.total(home.grant(retrypools.ask(400), 2.9)) == 0
    assert retrypools.total(home.grant(retrypools.ask(400), 10.9)) == 300
    assert retrypools.total(home.grant(retrypools.ask(400), 13.9)) == 100
