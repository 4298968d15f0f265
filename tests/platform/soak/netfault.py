"""Runs a program; an entry's connections can be cut.

Started in place of ``platform/run.py``. Connections to servers come from the
entry's own address, by which the servers' proxies know it.
"""

import asyncio
import os
import pathlib
import runpy
import socket
import sys

ROOT = pathlib.Path(__file__).parents[3]
SERVER_HOST = '127.0.0.1'
# Longer than any test.
HANG_S = 3600.0


def cut_file(settings_file):
    """Return the file that holds the kind of cut while there is one."""
    return pathlib.Path(settings_file).with_suffix('.cut')


def control_cut_file(settings_file):
    """Return the file that exists while an entry is cut off from control."""
    return pathlib.Path(settings_file).with_suffix('.controlcut')


def cut_from_control(settings_file):
    """Cut an entry off from all control processes."""
    control_cut_file(settings_file).touch()


def reconnect_to_control(settings_file):
    """End a cut."""
    control_cut_file(settings_file).unlink(missing_ok=True)


def install_control_cuts(cut_path):
    """Drop what this process sends to control while there is a cut."""
    # Only entries' transports are cut, which send to control alone.
    from bulrushhold import node

    transmit = node.ZmqTransport._transmit

    def transmit_unless_cut(*arguments):
        if not cut_path.exists():
            transmit(*arguments)

    node.ZmqTransport._transmit = transmit_unless_cut


def started_file(settings_file):
    """Return the file that is written just before the program begins."""
    return pathlib.Path(settings_file).with_suffix('.started')


def install(own_ip, cut_path):
    """Make new connections to backend servers fail while there is a cut."""
    connect = asyncio.SelectorEventLoop.sock_connect

    async def sock_connect(loop, sock, address):
        if address[0] != SERVER_HOST or sock.type != socket.SOCK_STREAM:
            return await connect(loop, sock, address)
        if cut_path.exists():
            if cut_path.read_text() in ('reset', 'refuse_new'):
                raise ConnectionRefusedError('cut off')
            await asyncio.sleep(HANG_S)
        sock.bind((own_ip, 0))
        return await connect(loop, sock, address)

    asyncio.SelectorEventLoop.sock_connect = sock_connect


if __name__ == '__main__':
    # The environment may hold another tree's code.
    sys.path.insert(1, str(ROOT / 'src'))
    settings_file = os.environ['BULRUSHHOLD_NODE_FILE']
    if sys.argv[1] == 'entry':
        install(os.environ['SOAK_ENTRY_IP'], cut_file(settings_file))
        install_control_cuts(control_cut_file(settings_file))
    script = str(ROOT / 'platform' / 'run.py')
    sys.argv[0] = script
    sys.path[0] = str(ROOT / 'platform')
    started_file(settings_file).touch()
    runpy.run_path(script, run_name='__main__')
