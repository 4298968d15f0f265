"""Load reports at a control process whose entries come and go."""

from bulrushhold.control import _clusterview
from bulrushhold.control import _watch
from bulrushhold import messages

NODE = messages.ControlNode('node', 'dc', replica=True)
REPORT = messages.LoadReport('e1', {'i-1': messages.EngineLoad(9, 1)}, [])


class _Transport:
    def handle(self, kind, handler):
        pass


async def test_a_report_that_arrives_after_its_entry_expired_is_dropped():
    # Guards against load that counts for ever after a pause of the process.
    server = _watch.WatchServer(
        _Transport(),
        NODE,
        _clusterview.ClusterView(lambda: 0.0),
        lambda: True,
        lambda: '',
        lambda: 0.0,
    )
    await server._on_load_report(REPORT)
    server.expire()
    assert server.loads.reports == {}
