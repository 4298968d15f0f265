"""Tests of the endpoint that the platform checks an entry at."""

import types

from aiohttp import test_utils
import pytest

from adapter import _directory
from adapter import _protocol


@pytest.mark.parametrize(('healthy', 'status'), [(True, 200), (False, 503)])
async def test_an_entry_whose_loops_fail_is_not_ready(healthy, status):
    # Guards against callers sent to an entry that no longer follows control.
    fleet = types.SimpleNamespace(
        own_entry=types.SimpleNamespace(ready=True),
        ready=True,
        is_healthy=lambda: healthy,
    )
    app = _directory.ready_application(fleet)
    async with test_utils.TestClient(test_utils.TestServer(app)) as caller:
        response = await caller.get(_protocol.READY_PATH)
        assert response.status == status
