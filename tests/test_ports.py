"""Ports of test deployments, which may run beside each other."""

import pathlib

import pytest

from bulrushhold import testing
from bulrushhold.testing import _ports

EPHEMERAL_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


@pytest.fixture
def make_block():
    blocks = []

    def make():
        blocks.append(_ports.PortBlock())
        return blocks[-1]

    yield make
    for block in blocks:
        block.close()


@pytest.mark.skipif(not EPHEMERAL_RANGE.exists(), reason='needs Linux')
def test_outgoing_connections_do_not_take_ports_of_deployments():
    # A port taken before its process binds it kept deployments from starting.
    lowest = int(EPHEMERAL_RANGE.read_text().split()[0])
    assert max(testing.free_ports(20)) < lowest


def test_two_runs_never_share_a_port(make_block):
    one, other = make_block(), make_block()
    assert not set(one.take(50)) & set(other.take(50))


def test_a_closed_block_is_used_again(make_block):
    one = make_block()
    one.close()
    assert make_block().ports == one.ports


def test_ports_are_distinct_and_used_again_after_a_round(make_block):
    block = make_block()
    ports = [port for _ in range(12) for port in block.take(50)]
    assert len(set(ports[:400])) == 400
    assert set(ports) <= set(block.ports)


def test_asking_for_more_ports_than_a_block_has_is_an_error(make_block):
    with pytest.raises(RuntimeError, match='fewer than'):
        make_block().take(_ports.BLOCK_SIZE)
