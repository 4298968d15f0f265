"""The error of a stream that lost its engine."""

import attrs

from bulrushhold import errors


@attrs.define(slots=False)
class StreamLostError(errors.EngineLostError):
    """A stream lost its engine and may resume on another one.

    :param sent: the request may have reached the engine.
    :param unreachable: the engine crashed or is unreachable; ``False`` if it
        only returned an error.
    :param reset: the engine closed the connection, because of a crash or of
        an error in a live engine.
    :param seconds: time since the stream was sent to the engine.
    :param event_id_before: id of the last event sent to the caller by then.
    :param permitted: the engine's request limit allowed the attempt.
    :param cut_off: neither this entry nor any other reaches the engines.
    :param silent: the engine doesn't answer, but nothing shows that it is
        gone.
    :param placed: another engine would take the stream at once.
    """

    sent: bool = True
    unreachable: bool = True
    reset: bool = False
    seconds: float = 0.0
    event_id_before: int | None = None
    permitted: bool = True
    cut_off: bool = False
    silent: bool = False
    placed: bool = False

    @property
    def crashed(self) -> bool:
        """Whether the engine is gone, and was lost with the request."""
        return self.sent and self.unreachable and not self.silent

    @property
    def rejected(self) -> bool:
        """Whether the engine refused to run the request."""
        return not (self.sent or self.unreachable)


def from_send_error(error: errors.BackendError) -> StreamLostError:
    """Return the loss of a stream whose request could not be sent."""
    if isinstance(error, errors.NoPermitError):
        return StreamLostError(
            str(error), sent=False, unreachable=False, permitted=False
        )
    if isinstance(error, errors.CutOffError):
        return StreamLostError(
            str(error), sent=False, unreachable=False, cut_off=True
        )
    if isinstance(error, errors.InvalidResponseError):
        return StreamLostError(str(error), unreachable=False)
    sent = error.step != 'connect'
    return StreamLostError(str(error), sent=sent, reset=sent)
