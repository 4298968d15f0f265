"""Services, control processes and asks of tests of the retry budget."""

import random

from bulrushhold import decisions
from bulrushhold import messages

SERVICE = 'desk'
RATIO, ALLOWANCE, WINDOW_S = 0.8, 150, 10.0


def make_nodes(*addresses):
    return [messages.ControlNode(a, 'dc', False) for a in addresses]


def home_first(*addresses):
    """Return the addresses, the home of the service first."""
    nodes = make_nodes(*addresses)
    first = decisions.home_address(SERVICE, nodes)
    second = decisions.next_home_address(SERVICE, nodes, first)
    return [first, second]


def ask(begun=0, other=0, pool=400.0, entry='e1'):
    return messages.RetryAsk(SERVICE, entry, begun, other, pool, WINDOW_S)


def total(grant):
    return grant.begun + grant.other


def make_home(address='n0', started_at=float('-inf'), nodes=('n0', 'n1')):
    home = decisions.RetryHome(address, random.Random(1), started_at)
    home.update_nodes(make_nodes(*nodes), started_at)
    return home
