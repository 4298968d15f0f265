"""Places at brittle servers, shared by all entries."""

import asyncio
import random

import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages

ROOM = 4
SETTLED_S = 1.0


def make_report(entry='e1', *, epoch=1, held=0, grants=0):
    return messages.PlaceReport('s1', entry, epoch, held, grants)


def make_ask(entry='e1', *, max_wait_s=0.0, **fields):
    return messages.PlaceAsk(make_report(entry, **fields), ROOM, max_wait_s)


@pytest.fixture
def home():
    place_home = decisions.PlaceHome()
    place_home.ask(make_ask('e0'), 0.0, lambda: None)
    return place_home


def test_entries_hold_no_more_places_than_there_is_room(home):
    granted = [
        home.ask(make_ask(f'e{n}'), SETTLED_S, lambda: None) for n in range(9)
    ]
    assert granted.count(True) == ROOM


def test_a_new_home_waits_for_reports_of_what_is_held():
    # Guards against places that a home before it has granted.
    home = decisions.PlaceHome()
    assert not home.ask(make_ask(), 0.0, lambda: None)
    home.report(make_report('e2', held=ROOM), 0.1)
    assert not home.ask(make_ask(), SETTLED_S, lambda: None)


def test_a_place_counts_before_its_entry_knows_of_it(home):
    # Guards against a report that crosses a grant on its way.
    for _ in range(ROOM):
        assert home.ask(make_ask(), SETTLED_S, lambda: None)
    assert not home.ask(make_ask('e2'), SETTLED_S, lambda: None)
    home.report(make_report(held=1, grants=ROOM), SETTLED_S)
    assert home.ask(make_ask('e2'), SETTLED_S, lambda: None)


def test_a_home_counts_grants_on_their_way_to_an_entry_it_has_forgotten(home):
    # Guards against an entry that asks again after a while, or a new home.
    for _ in range(ROOM):
        assert home.ask(make_ask(grants=7), SETTLED_S, lambda: None)
    assert not home.ask(make_ask(grants=7), SETTLED_S, lambda: None)


def test_places_of_a_lost_entry_are_free_after_a_while(home):
    home.report(make_report('e2', held=ROOM), SETTLED_S)
    assert not home.ask(make_ask(), SETTLED_S + 1.0, lambda: None)
    assert home.ask(make_ask(), SETTLED_S + 2.0, lambda: None)


def test_an_entry_that_restarted_holds_what_it_says(home):
    home.report(make_report(held=ROOM), SETTLED_S)
    assert home.ask(make_ask(epoch=2), SETTLED_S, lambda: None)


def test_requests_that_wait_get_places_in_order(home):
    home.report(make_report('e9', held=ROOM), SETTLED_S)
    served = []
    for entry in ('e1', 'e2', 'e3'):
        ask = make_ask(entry, max_wait_s=0.5)
        home.ask(ask, SETTLED_S, lambda entry=entry: served.append(entry))
    assert not home.ask(make_ask('e4'), SETTLED_S, lambda: None)
    home.report(make_report('e9', held=ROOM - 2), SETTLED_S + 0.1)
    assert served == ['e1', 'e2']
    # The third one no longer waits.
    home.report(make_report('e9'), SETTLED_S + 0.6)
    assert served == ['e1', 'e2']


def test_a_request_given_up_gets_no_place(home):
    # Guards against places that nobody uses.
    home.report(make_report('e9', held=ROOM), SETTLED_S)
    served = []
    ask = make_ask('e1', max_wait_s=0.5)
    home.ask(ask, SETTLED_S, lambda: served.append('e1'))
    home.report(make_report('e1', epoch=2), SETTLED_S + 0.1)
    home.report(make_report('e9'), SETTLED_S + 0.2)
    assert served == []


def test_a_service_is_brittle_while_its_newest_answer_says_so():
    brittle = decisions.BrittleServices()
    assert brittle.record('s', 4.0, 2.0)
    assert not brittle.record('s', 4.0, 3.0)
    # Its request was sent before the newest statement.
    assert not brittle.record('s', None, 2.5)
    assert 's' in brittle
    assert brittle.record('s', None, 3.5)
    assert 's' not in brittle


NODES = [messages.ControlNode('c', 'dc', '10.0.0.1:70', False)]


class HomeTransport:
    """Passes messages to a home, and can lose its replies.

    :ivar lost: the home's replies are lost.
    """

    def __init__(self, home):
        self.home = home
        self.lost = False
        self.now = SETTLED_S

    async def request(self, address, ask, timeout):
        granted = self.home.ask(ask, self.now, lambda: None)
        await asyncio.sleep(0)
        if self.lost:
            raise errors.PeerError('no reply', 'PlaceAsk', address)
        return messages.PlaceGrant(granted)

    def send(self, address, report):
        self.home.report(report, self.now)


@pytest.fixture
def transport(home):
    return HomeTransport(home)


@pytest.fixture
def placement():
    pool = decisions.Placement(random.Random(1))
    pool.update([messages.ListedBackend('s1', 's', 'a', 'dc', ROOM)])
    pool.demands.brittle.record('s', 4.0, 0.0)
    return pool


def make_places(transport, placement, entry, nodes=NODES):
    return forwarding.ControlPlaces(transport, placement, entry, lambda: nodes)


async def test_a_place_is_free_again_after_its_request(transport, placement):
    places = make_places(transport, placement, 'e1')
    server = placement.backends['s1']
    for _ in range(3 * ROOM):
        assert await places.take(server, 0.0)
        server.inflight += 1
        places.use('s1')
        server.inflight -= 1
        places.release(server)


async def test_requests_at_once_share_the_room(transport, placement):
    places = make_places(transport, placement, 'e1')
    server = placement.backends['s1']
    granted = await asyncio.gather(
        *(places.take(server, 0.0) for _ in range(3 * ROOM))
    )
    assert granted.count(True) == ROOM


async def test_a_lost_reply_costs_no_place(transport, placement):
    # Guards against places that are taken for good.
    server = placement.backends['s1']
    places = make_places(transport, placement, 'e1')
    transport.lost = True
    assert not await places.take(server, 0.0)
    transport.lost = False
    places.failed_at.clear()
    granted = [await places.take(server, 0.0) for _ in range(ROOM + 1)]
    assert granted == [True] * ROOM + [False]


async def test_without_a_control_process_there_are_no_places(
    transport, placement
):
    # Guards against an error while no control process is known.
    transport.request = None
    places = make_places(transport, placement, 'e1', nodes=[])
    assert not await places.take(placement.backends['s1'], 0.0)
