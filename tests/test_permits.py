"""Tests of permits for servers with a request limit."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages


@pytest.fixture
def home():
    return decisions.PermitHome(random.Random(1))


def make_ask(entry='e1', per_s=5.0, age_s=0.0, max_wait_s=0.0):
    return messages.PermitAsk('s1', entry, per_s, age_s, max_wait_s)


def count_granted(home, ask, begin, end, step=0.01):
    steps = round((end - begin) / step)
    return sum(
        home.grant(ask, begin + number * step).granted
        for number in range(steps)
    )


def test_permits_are_granted_at_the_rate_of_the_limit(home):
    # Four fifths of five a second.
    assert count_granted(home, make_ask(), 0.0, 10.0) in (40, 41)


def test_many_entries_get_no_more_permits_than_one(home):
    asks = [make_ask(f'e{number}') for number in range(300)]
    granted = sum(home.grant(ask, 0.0).granted for ask in asks)
    assert granted == 1


def test_unused_permits_are_not_saved_up(home):
    home.grant(make_ask(), 0.0)
    assert count_granted(home, make_ask(), 60.0, 60.1) <= 2


def test_a_request_that_can_wait_gets_a_later_permit(home):
    ask = make_ask(max_wait_s=1.0)
    waits = [home.grant(ask, 0.0).wait_s for _ in range(5)]
    assert waits == pytest.approx([0.0, 0.25, 0.5, 0.75, 1.0])
    refusal = home.grant(ask, 0.0)
    assert not refusal.granted
    assert refusal.wait_s == pytest.approx(1.25)


def test_the_newest_known_limit_is_in_force(home):
    home.grant(make_ask(per_s=5.0), 0.0)
    # An older statement arrives after a newer one.
    home.grant(make_ask('e2', per_s=1.0, age_s=0.1), 1.0)
    home.grant(make_ask('e3', per_s=50.0, age_s=0.8), 1.0)
    assert count_granted(home, make_ask(per_s=1.0), 1.01, 11.0) <= 9


def test_a_limit_that_changes_all_the_time_allows_no_more(home):
    # Guards against an early permit after each change.
    granted = sum(
        home.grant(make_ask(per_s=5.0 + step % 2), step * 0.01).granted
        for step in range(1000)
    )
    assert granted <= 0.8 * 6.0 * 10 + 2


def test_entries_without_a_permit_ask_again_at_random_times(home):
    holds = {home.grant(make_ask(f'e{n}'), 0.0).hold_s for n in range(50)}
    assert len(holds) > 40


def make_limits(*rates):
    limits = decisions.RequestLimits(random.Random(1))
    for number, per_s in enumerate(rates):
        limits.record('s1', per_s, float(number))
    return limits


@pytest.mark.parametrize(
    ('named', 'kept'),
    [(2.6, 2.6), (0.0, 0.25), (1e-9, 0.25), (1000.0, 1000.0), (1e9, None)],
)
def test_a_limit_is_kept_within_bounds(named, kept):
    # Guards against a server that no request could reach any more.
    assert make_limits(named).current('s1') == kept


def test_an_older_response_does_not_end_a_limit():
    limits = make_limits(5.0)
    assert not limits.record('s1', None, -0.5)
    assert limits.current('s1') == 5.0
    assert limits.record('s1', None, 0.5)
    assert limits.current('s1') is None


def test_a_restarted_server_has_no_limit():
    limits = make_limits(5.0)
    limits.retain({'s2'})
    assert limits.current('s1') is None


def test_changes_are_reported_to_the_others_until_acknowledged():
    limits = make_limits(5.0)
    reported = limits.take_unreported(2.0)
    assert reported == [messages.ServerLimit('s1', 5.0, 2.0)]
    assert limits.take_unreported(2.0) == []
    limits.requeue(reported)
    assert limits.take_unreported(3.0) == [
        messages.ServerLimit('s1', 5.0, 3.0)
    ]


def test_what_others_report_is_applied_unless_older_and_not_repeated():
    limits = make_limits(5.0)
    limits.take_unreported(0.0)
    assert not limits.apply([messages.ServerLimit('s1', None, 3.0)], 2.0)
    ended = messages.ServerLimit('s1', None, 1.0)
    assert limits.apply([ended], 2.0) == [ended]
    assert limits.take_unreported(2.0) == []


def test_the_floors_of_all_entries_add_up_to_their_share():
    # Guards against a burst of one first request of each entry.
    arrivals = 0
    for seed in range(300):
        limits = decisions.RequestLimits(random.Random(seed))
        limits.record('s1', 5.0, 0.0)
        arrivals += sum(
            limits.take_floor('s1', 300, step * 0.05) == 0.0
            for step in range(200)
        )
    assert 0.5 * 0.2 * 5.0 * 10 <= arrivals <= 1.5 * 0.2 * 5.0 * 10


def test_permits_come_from_one_relay():
    nodes = [
        messages.ControlNode(f'10.0.0.{n}:70', 'dc', n < 3) for n in range(6)
    ]
    homes = {decisions.home_address(f's{n}', nodes) for n in range(100)}
    assert homes == {node.address for node in nodes[3:]}
    only_replicas = decisions.home_address('s1', nodes[:3])
    assert only_replicas in {node.address for node in nodes[:3]}
    assert decisions.home_address('s1', []) == ''
