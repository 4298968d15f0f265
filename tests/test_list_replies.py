"""The list of backend servers in watch replies, without a network."""

import attrs
import pytest

from bulrushhold.control import _clusterview
from bulrushhold import errors
from bulrushhold import messages

SERVERS = [
    messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:80', 'dc', 8)
    for n in range(40)
]


def make_view(servers, version='1.1'):
    view = _clusterview.ClusterView(lambda: 0.0)
    view.backends = list(servers)
    view.backends_version = version
    return view


def test_a_list_keeps_its_order_and_fields():
    # Guards against equal seeds that give different choices of servers.
    servers = [attrs.evolve(SERVERS[0], leaving=True), *SERVERS[:0:-1]]
    packed = messages.pack_backends(servers)
    assert messages.unpack_backends(packed) == servers


@pytest.mark.parametrize('data', [b'', b'x', messages.pack_backends([])[:-1]])
def test_a_malformed_list_is_rejected(data):
    with pytest.raises(errors.PeerError):
        messages.unpack_backends(data)


def test_replies_share_one_encoded_list():
    # Guards against encoding the list once more for each entry.
    view = make_view(SERVERS)
    first = view.reply(messages.Known()).backends
    assert view.reply(messages.Known(1)).backends is first
    view.backends = SERVERS[1:]
    view.backends_version = '1.2'
    assert messages.unpack_backends(
        view.reply(messages.Known()).backends
    ) == list(SERVERS[1:])


def test_a_control_process_copies_the_leaders_list():
    leader, follower = make_view(SERVERS), make_view([], '')
    follower.update(leader.reply(follower.versions()))
    assert follower.backends == SERVERS
    assert follower.backends_version == '1.1'
    assert leader.reply(follower.versions()).backends is None
