"""The crashes of workers under one task."""

from msgspec import Struct

from apricotlead.protocol.cell_jobs import CrashRecord


class CrashHistory(Struct):
    """How often workers have crashed under a task, and whether it is suspected.

    ``crashes`` counts workers that certainly crashed while they executed the
    task, ``doubtful_crashes`` those that may not have crashed, or may not have
    begun it. Of the certain ones, ``sole_crashes`` came soon after its start and
    left no other job to blame, and ``alone_crashes`` came at another time while
    it was tried alone. A suspect is run apart from other work until it has outlived
    ``longest_age_s``, the age in seconds of its oldest run at a crash.
    ``counted_run`` is the latest run that was counted.
    """

    crashes: int = 0
    doubtful_crashes: int = 0
    sole_crashes: int = 0
    alone_crashes: int = 0
    is_suspect: bool = False
    longest_age_s: float = 0.0
    counted_run: int = 0

    @property
    def total(self) -> int:
        """Return the number of certain and doubtful crashes."""
        return self.crashes + self.doubtful_crashes

    @property
    def unexplained(self) -> int:
        """Return the crashes for which nothing else is known to blame."""
        certain = self.sole_crashes + self.alone_crashes
        return certain + self.doubtful_crashes

    def record(self, index: int) -> CrashRecord:
        """Return the record of the task with this index."""
        return CrashRecord(
            index,
            self.crashes,
            self.doubtful_crashes,
            self.sole_crashes,
            self.alone_crashes,
            self.is_suspect,
            self.counted_run,
        )

    def restore(self, record: CrashRecord) -> None:
        """Restore what a former scheduler recorded."""
        self.crashes = record.crashes
        self.doubtful_crashes = record.doubtful_crashes
        self.sole_crashes = record.sole_crashes
        self.alone_crashes = record.alone_crashes
        self.is_suspect = record.is_suspect
        self.counted_run = record.counted_run

    def clear(self) -> None:
        """Forget all crashes, as the task has been shown not to cause them."""
        self.crashes = 0
        self.doubtful_crashes = 0
        self.sole_crashes = 0
        self.alone_crashes = 0
        self.is_suspect = False
        self.longest_age_s = 0.0
