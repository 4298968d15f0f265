"""Refuses requests that are blocked since engines crashed under them."""

from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _running


def refuse_blocked(
    context: _context.ForwardingContext, fingerprint: str, service: str
) -> None:
    """Refuse a request that is blocked.

    :raises RequestError: with the time until the block ends.
    """
    seconds = context.poison_requests.remaining_block_s(
        fingerprint, context.clock()
    )
    if seconds:
        raise errors.RequestError(
            _running.REASON,
            'accept',
            service,
            status=503,
            retry_after=seconds,
        )
