"""Division of a job's progress into parts, each of which is stored as a row.

The tasks of a job are numbered in the order of its occurrences and steps. A
part holds the tasks from its first one up to the first one of the next part,
and the last part all further tasks. A part that has become too large is split:
the later half of its tasks becomes a part with a new number.
"""


class ProgressPart:
    """One part: its number, and the number of its first task.

    ``digest`` identifies the content that the store holds, ``None`` before the
    first write. ``written`` is the count of the job's writes at the latest one
    of this part.
    """

    __slots__ = ('digest', 'first', 'number', 'written')

    def __init__(self, number: int, first: int) -> None:
        """Start a part that was never written."""
        self.number = number
        self.first = first
        self.digest: int | None = None
        self.written = 0


class ProgressParts:
    """All parts of one job, in the order of their tasks."""

    __slots__ = ('_write_count', 'parts')

    def __init__(self) -> None:
        """Start with one part that holds all tasks."""
        self.parts = [ProgressPart(0, 0)]
        self._write_count = 0

    @property
    def further_numbers(self) -> list[int]:
        """Return the numbers of all parts but the main one, which is 0."""
        return [part.number for part in self.parts if part.number]

    def restore(self, firsts_by_number: dict[int, int]) -> None:
        """Restore the division that a former scheduler stored."""
        firsts = {**firsts_by_number, 0: 0}
        self.parts = [
            ProgressPart(number, first)
            for number, first in sorted(
                firsts.items(), key=lambda pair: pair[1]
            )
        ]

    def end_of(self, part: ProgressPart) -> int | None:
        """Return the first task of the next part, ``None`` for the last one."""
        index = self.parts.index(part) + 1
        return self.parts[index].first if index < len(self.parts) else None

    def following(self, part: ProgressPart) -> ProgressPart:
        """Return the part after one that is not the last."""
        return self.parts[self.parts.index(part) + 1]

    def split(self, part: ProgressPart, task_count: int) -> bool:
        """Move the later half of a part's tasks to a new part.

        ``task_count`` is the number of tasks of the job. Returns ``False`` for
        a part that has a single task.
        """
        ends = self.end_of(part)
        last = task_count if ends is None else ends
        half = (last - part.first) // 2
        if not half:
            return False
        new = ProgressPart(
            max(each.number for each in self.parts) + 1, part.first + half
        )
        self.parts.insert(self.parts.index(part) + 1, new)
        return True

    def in_write_order(self) -> list[ProgressPart]:
        """Return the parts, those that were not written for longest first.

        So a new part precedes the one that it was split from. Until that is
        written, too, its stored row still has the tasks of the new part, for
        which the row with the higher number holds.
        """
        return sorted(self.parts, key=lambda part: (part.written, -part.number))

    def note_written(self, part: ProgressPart, digest: int) -> None:
        """Record the content of a part that is now durable."""
        self._write_count += 1
        part.written = self._write_count
        part.digest = digest
