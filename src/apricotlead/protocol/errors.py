"""The exception hierarchy, and the form in which errors are sent."""

from typing import ClassVar

from msgspec import Struct


class ErrorReport(Struct, frozen=True, omit_defaults=True):
    """An error as sent to callers: kind, message and remedy."""

    kind: str
    message: str
    remedy: str = ''
    current_version: int | None = None


class ApricotleadError(Exception):
    """Base class of all errors; each has a kind, a message and a remedy."""

    kind: ClassVar[str] = 'internal'
    remedy: ClassVar[str] = 'Report this error with the dump of the process.'

    def __init__(self, message: str) -> None:
        """Store the human-readable message."""
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        """Return the message followed by the remedy."""
        return f'{self.message} {self.remedy}'

    def report(self) -> ErrorReport:
        """Return the report that is sent to callers."""
        return ErrorReport(self.kind, self.message, self.remedy)


class BadInput(ApricotleadError):
    """The request is malformed; retrying cannot succeed."""

    kind = 'bad_input'
    remedy = 'Correct the named field and send the request again.'


class NeverFits(BadInput):
    """A task of the job demands more than any known worker has."""

    kind = 'never_fits'
    remedy = 'Ask for less than the largest worker has.'


class TooLarge(BadInput):
    """The job is larger than the store takes; retrying cannot succeed."""

    kind = 'too_large'
    remedy = 'Submit it as several jobs with fewer steps each.'


class KeyRefused(ApricotleadError):
    """The key is unknown, revoked, or belongs to another team."""

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
        """Store the current version."""
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


class JobWithdrawn(NoSuchJob):
    """The job was cancelled before it was accepted."""

    kind = 'withdrawn'
    remedy = 'Submit the work under another id.'


class TryLater(ApricotleadError):
    """The work was not run; the request may be retried later."""

    kind = 'try_later'
    remedy = 'Send the request again after the given time.'


class StaleView(TryLater):
    """The instance cannot confirm that its configuration is recent."""

    kind = 'stale_view'


class StoreUnreachable(TryLater):
    """The platform's table service did not accept the write."""

    kind = 'store_unreachable'


class LimitReached(TryLater):
    """The team has reached its concurrency limit."""

    kind = 'limit_reached'


class Overloaded(TryLater):
    """A queue or all executors are full."""

    kind = 'overloaded'


class Draining(TryLater):
    """The instance is shutting down; another one accepts the request."""

    kind = 'draining'
    remedy = 'Send the request again at once; the balancer picks another.'


class OwnerUnreachable(TryLater):
    """The instance that owns the job cannot be reached at the moment."""

    kind = 'owner_unreachable'


class OutcomeUnknown(ApricotleadError):
    """The work may have run; the system does not retry it."""

    kind = 'outcome_unknown'
    remedy = 'Check the effect before sending the request again.'


class AttemptsUsedUp(ApricotleadError):
    """A task of the job failed on its last allowed attempt."""

    kind = 'attempts_used_up'
    remedy = 'Correct the task that failed and submit the job again.'
