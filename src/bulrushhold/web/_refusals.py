"""Errors and responses for requests that can't be received or served."""

import json
import typing as t

from aiohttp import http_exceptions
from aiohttp import web
import loguru

from bulrushhold import errors

RETRY_S: t.Final = 0.5
RECEIVE_STEP: t.Final = 'receive'
MEMORY_STEP: t.Final = 'buffers'
REQUESTS_STEP: t.Final = 'descriptors'


def memory_error() -> errors.RequestError:
    """Return the error of a request that there is no memory for."""
    return errors.RequestError(
        'no memory for another request',
        MEMORY_STEP,
        status=503,
        retry_after=RETRY_S,
    )


def requests_error() -> errors.RequestError:
    """Return the error of a request beyond those handled at a time."""
    return errors.RequestError(
        'too many requests at a time',
        REQUESTS_STEP,
        status=503,
        retry_after=RETRY_S,
    )


def timeout_error(part: str) -> errors.RequestError:
    """Return the error of a request of which a part didn't arrive in time."""
    return errors.RequestError(
        f'the {part} of the request was not received in time',
        RECEIVE_STEP,
        status=408,
        retry_after=RETRY_S,
    )


def head_error(limit: int) -> errors.RequestError:
    """Return the error of a head, or of trailers, above a limit in bytes."""
    return errors.RequestError(
        f'the head or trailers exceed {limit} bytes', RECEIVE_STEP, status=431
    )


def body_error(limit: int) -> errors.RequestError:
    """Return the error of a body above a limit in bytes."""
    return errors.RequestError(
        f'the body exceeds {limit} bytes', RECEIVE_STEP, status=413
    )


def encoding_error() -> errors.RequestError:
    """Return the error of a compressed body that no handler takes."""
    return errors.RequestError(
        'compressed bodies are not supported', RECEIVE_STEP, status=415
    )


def to_error(
    status: int, exc: BaseException | None, message: str | None
) -> errors.RequestError:
    """Return the error for what the HTTP library or a handler has raised.

    :param status: of the response, as the library proposes it.
    :param message: the library's reason, if it has one.
    """
    if isinstance(exc, errors.RequestError):
        return exc
    if isinstance(exc, http_exceptions.HttpProcessingError):
        if isinstance(exc, http_exceptions.LineTooLong):
            status = 431
        reason = ' '.join((message or str(exc)).split())
        return errors.RequestError(reason, RECEIVE_STEP, status=status)
    loguru.logger.opt(exception=exc).error('request failed')
    return errors.RequestError(
        'internal error', 'entry', ran=errors.Ran.UNKNOWN, status=status
    )


def closing_response(error: errors.RequestError) -> web.Response:
    """Return the response to a request; its connection is closed."""
    headers = {}
    if error.retry_after is not None:
        headers['Retry-After'] = f'{error.retry_after:.2f}'
    response = web.Response(
        status=error.status,
        body=json.dumps(error.body()).encode(),
        content_type='application/json',
        headers=headers,
    )
    response.force_close()
    return response
