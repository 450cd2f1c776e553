"""The exception tree, and the form in which errors travel."""

from typing import ClassVar

from msgspec import Struct


class ErrorReport(Struct, frozen=True, omit_defaults=True):
    """An error as a caller sees it: kind, message and remedy."""

    kind: str
    message: str
    remedy: str = ''
    current_version: int | None = None


class ApricotleadError(Exception):
    """Root of all errors; each has a kind, a message and a remedy."""

    kind: ClassVar[str] = 'internal'
    remedy: ClassVar[str] = 'Report this error with the dump of the process.'

    def __init__(self, message: str) -> None:
        """Keep the message for people."""
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        """Render the message and what to do about it."""
        return f'{self.message} {self.remedy}'

    def report(self) -> ErrorReport:
        """Return the form that is sent to callers."""
        return ErrorReport(self.kind, self.message, self.remedy)


class BadInput(ApricotleadError):
    """The request is malformed; sending it again cannot help."""

    kind = 'bad_input'
    remedy = 'Correct the named field and send the request again.'


class NeverFits(BadInput):
    """No known worker could ever hold one of the job's tasks."""

    kind = 'never_fits'
    remedy = 'Ask for less than the largest worker has.'


class KeyRefused(ApricotleadError):
    """The key is unknown, withdrawn, or belongs to another team."""

    kind = 'key_refused'
    remedy = "Ask an operator for a key of the queue's team."


class NotFound(ApricotleadError):
    """The named job, queue, team or service does not exist."""

    kind = 'not_found'
    remedy = 'Check the name.'


class NoSuchJob(NotFound):
    """No accepted job has this id."""

    kind = 'no_job'
    remedy = 'Check the id; finished jobs are forgotten after a while.'


class VersionConflict(ApricotleadError):
    """Another operator changed the configuration first."""

    kind = 'version_conflict'
    remedy = 'Read the configuration and send the change with its version.'

    def __init__(self, current_version: int) -> None:
        """Name the version that is current."""
        super().__init__(
            f'The configuration is at version {current_version}.',
        )
        self.current_version = current_version

    def report(self) -> ErrorReport:
        """Return the report with the current version."""
        return ErrorReport(
            self.kind,
            self.message,
            self.remedy,
            self.current_version,
        )


class TryLater(ApricotleadError):
    """The work was not run; it may be sent again later."""

    kind = 'try_later'
    remedy = 'Send the request again after the given time.'


class StaleView(TryLater):
    """The instance cannot show that its configuration is recent."""

    kind = 'stale_view'


class StoreUnreachable(TryLater):
    """The platform's table service did not take the write."""

    kind = 'store_unreachable'


class LimitReached(TryLater):
    """The team has as much running as its upper limit allows."""

    kind = 'limit_reached'


class Overloaded(TryLater):
    """A queue or all executors are full."""

    kind = 'overloaded'


class Draining(TryLater):
    """The instance is being stopped; another one takes the request."""

    kind = 'draining'
    remedy = 'Send the request again at once; the balancer picks another.'


class OwnerUnreachable(TryLater):
    """The instance that keeps the job cannot be reached at the moment."""

    kind = 'owner_unreachable'


class OutcomeUnknown(ApricotleadError):
    """The work may have run; it is not sent again by the system."""

    kind = 'outcome_unknown'
    remedy = 'Check the effect before sending the request again.'


class AttemptsUsedUp(ApricotleadError):
    """A task of the job failed as often as it may be started."""

    kind = 'attempts_used_up'
    remedy = 'Correct the task that failed and submit the job again.'
