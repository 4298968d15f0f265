"""Sends poison requests, which crash the engines that begin them."""

import yarl

from tests.platform.soak import fakes

BODY = b'bad'


def post(session, system, entry, path, ident, key):
    """Return a pending request to an entry.

    :param ident: of this attempt; the path identifies the poison request.
    :param key: key of the client account.
    """
    headers = {
        'Host': 'soak.example',
        'Bulrushhold-Request-Id': ident,
        'Bulrushhold-Credential': key,
        'Bulrushhold-Deadline-Ms': '10000',
    }
    if path.startswith(fakes.STREAM_PATH):
        headers['Bulrushhold-Token-Counts'] = '800,40'
        headers['Bulrushhold-Prompt-Prefix'] = 'a:100,bad:700'
    url = yarl.URL(system.url(entry, 'front', path), encoded=True)
    return session.post(url, data=BODY, headers=headers)
