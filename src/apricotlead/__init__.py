"""A cluster scheduler for services, batch and gang jobs in one cell.

The names below are the public interface of the library. Importing it does not
load a network library; :mod:`apricotlead.entry` contains the daemon.
"""

from apricotlead.assembly import Parts, assemble
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.protocol.errors import ApricotleadError
from apricotlead.protocol.jobs import Submission, TaskSpec
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AskStatus,
    ChangeConfig,
    Effect,
    SubmitJob,
    Tick,
)
from apricotlead.settings import Settings

__all__ = (
    'ApricotleadError',
    'AskStatus',
    'ChangeConfig',
    'Done',
    'Effect',
    'MayHaveRun',
    'NotRun',
    'Parts',
    'Resources',
    'Scheduler',
    'Settings',
    'Submission',
    'SubmitJob',
    'TaskSpec',
    'Tick',
    'assemble',
)
