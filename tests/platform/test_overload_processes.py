"""Servers that reject requests for want of room, and real processes."""

import collections
import math

import pytest

from tests.platform.soak import fakes
from tests.platform.soak import system
from tests.platform import test_brittle_processes

# Of what the servers' slots allow.
MIN_SERVED_SHARE = 0.85


class OverloadRun(test_brittle_processes.BrittleRun):
    """The same servers, which bear any number of rejections."""

    def __init__(self, folder, network_number, path, work_s):
        super().__init__(
            folder, network_number, path, spikes=False, work_s=work_s
        )
        self.statuses = collections.Counter()
        for engine in self.engines:
            engine.tolerated = math.inf
            engine.statements = {}

    def _check_response(self, kind, ident, target, body, response, data):
        self.statuses[response.status] += 1
        super()._check_response(kind, ident, target, body, response, data)


@pytest.mark.parametrize('path', [fakes.SAFE_PATH, fakes.UNSAFE_PATH])
@pytest.mark.parametrize('work_s', [0.4, 0.8])
async def test_busy_servers_serve_what_they_have_room_for(
    tmp_path, path, work_s
):
    # Guards against responses lost on a connection of a rejected request.
    with system.LoopbackNetwork() as network:
        overload_run = OverloadRun(tmp_path, network.number, path, work_s)
        report = await overload_run.execute()
    possible = overload_run.capacity_per_s * test_brittle_processes.DURATION_S
    served = overload_run.served
    print(f'{served=} {possible=} {overload_run.statuses=}')
    assert report.violations == []
    assert overload_run.statuses[502] == 0
    assert served >= MIN_SERVED_SHARE * possible
