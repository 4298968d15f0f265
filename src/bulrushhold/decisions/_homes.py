"""Which control process keeps the state of a key, e.g. of a server."""

from bulrushhold.decisions import _rendezvous
from bulrushhold import messages


def home_address(key: str, nodes: list[messages.ControlNode]) -> str:
    """Return the address of the control process that is a key's home.

    Relays come first, as replicas also store the log.

    :return: ``''`` without any control process.
    """
    relays = [node for node in nodes if not node.replica] or nodes
    ranking = _rendezvous.rendezvous_order(
        key, relays, lambda node: node.address
    )
    return ranking[0].address if ranking else ''


def next_home_address(
    key: str, nodes: list[messages.ControlNode], home: str
) -> str:
    """Return the address of a key's home without the present one.

    :param home: address of the present home.
    """
    return home_address(key, [n for n in nodes if n.address != home])
