"""Finds workers by their free resources without a scan of all workers."""

from collections.abc import Container, Iterable, Iterator

from sortedcontainers import SortedDict, SortedList

from apricotlead.protocol.resources import Resources

# Shelf of workers that have no accelerators at all, before all others.
_NO_ACCELERATORS = -1
# Memory classes split each power of two into 2 ** _CLASS_BITS parts.
_CLASS_BITS = 3


class _MemoryBucket:
    """Workers of one shelf and one memory class, in two orders."""

    __slots__ = ('by_cpu', 'by_memory')

    def __init__(self) -> None:
        self.by_cpu = SortedList()
        self.by_memory = SortedList()

    def add(self, free: Resources, worker_id: str) -> None:
        self.by_cpu.add((free.cpu_millis, free.memory_mb, worker_id))
        self.by_memory.add((free.memory_mb, free.cpu_millis, worker_id))

    def remove(self, free: Resources, worker_id: str) -> None:
        self.by_cpu.remove((free.cpu_millis, free.memory_mb, worker_id))
        self.by_memory.remove((free.memory_mb, free.cpu_millis, worker_id))

    def fitting(self, demand: Resources, tightest_first: bool) -> Iterator[str]:
        """Yield fitting workers along the shorter of the two orders."""
        cpu, memory = demand.cpu_millis, demand.memory_mb
        first_cpu = self.by_cpu.bisect_left((cpu,))
        first_memory = self.by_memory.bisect_left((memory,))
        if first_cpu >= first_memory:
            walk = _walk(self.by_cpu, first_cpu, tightest_first)
            return (entry[2] for entry in walk if entry[1] >= memory)
        walk = _walk(self.by_memory, first_memory, tightest_first)
        return (entry[2] for entry in walk if entry[1] >= cpu)


class AcceleratorBucket:
    """Workers with the same number of free accelerators."""

    __slots__ = ('_buckets_by_memory_class',)

    def __init__(self) -> None:
        """Start empty."""
        self._buckets_by_memory_class = SortedDict()

    def __bool__(self) -> bool:
        """Return whether any worker is on the shelf."""
        return bool(self._buckets_by_memory_class)

    def add(self, free: Resources, worker_id: str) -> None:
        """Put a worker on the shelf."""
        memory_class = _memory_class(free.memory_mb)
        cell = self._buckets_by_memory_class.get(memory_class)
        if cell is None:
            cell = self._buckets_by_memory_class.setdefault(
                memory_class, _MemoryBucket()
            )
        cell.add(free, worker_id)

    def remove(self, free: Resources, worker_id: str) -> None:
        """Take a worker off; ``free`` is as it was put."""
        memory_class = _memory_class(free.memory_mb)
        cell = self._buckets_by_memory_class[memory_class]
        cell.remove(free, worker_id)
        if not cell.by_cpu:
            self._buckets_by_memory_class.pop(memory_class)

    def candidates(
        self,
        demand: Resources,
        avoid: Container[str],
        tightest_first: bool,
    ) -> Iterator[str]:
        """Yield one fitting worker from each memory class.

        The tightest come first where ``tightest_first``, else the roomiest.
        """
        classes = self._buckets_by_memory_class.irange(
            _memory_class(demand.memory_mb),
            reverse=not tightest_first,
        )
        for memory_class in classes:
            cell = self._buckets_by_memory_class[memory_class]
            for worker_id in cell.fitting(demand, tightest_first):
                if worker_id not in avoid:
                    yield worker_id
                    break

    def largest(self) -> tuple[int, int]:
        """Return the most free processors (millis) and memory (MiB)."""
        cells = self._buckets_by_memory_class.values()
        cpu = max(cell.by_cpu[-1][0] for cell in cells)
        return cpu, cells[-1].by_memory[-1][0]


class FreeIndex:
    """Workers by free accelerators, then memory class, then processors.

    An update costs O(log n). A search looks at one worker in each of at most
    about 100 memory classes of a shelf, and walks further only in the class
    of the demand itself.
    """

    __slots__ = ('_places_by_worker_id', '_buckets_by_accelerators')

    def __init__(self) -> None:
        """Start empty."""
        self._places_by_worker_id: dict[str, tuple[int, Resources]] = {}
        self._buckets_by_accelerators = SortedDict()

    def __len__(self) -> int:
        """Return the number of workers in the index."""
        return len(self._places_by_worker_id)

    def put(self, worker_id: str, free: Resources, accelerated: bool) -> None:
        """Insert or move a worker; one with a negative rest is left out."""
        key = free.accelerators if accelerated else _NO_ACCELERATORS
        if self._places_by_worker_id.get(worker_id) == (key, free):
            return
        self.remove(worker_id)
        if min(free.cpu_millis, free.memory_mb, free.accelerators) < 0:
            return
        bucket = self._buckets_by_accelerators.get(key)
        if bucket is None:
            bucket = self._buckets_by_accelerators.setdefault(
                key, AcceleratorBucket()
            )
        bucket.add(free, worker_id)
        self._places_by_worker_id[worker_id] = (key, free)

    def remove(self, worker_id: str) -> None:
        """Take a worker out, if it is there."""
        place = self._places_by_worker_id.pop(worker_id, None)
        if place is None:
            return
        key, free = place
        bucket = self._buckets_by_accelerators[key]
        bucket.remove(free, worker_id)
        if not bucket:
            self._buckets_by_accelerators.pop(key)

    def buckets(self, accelerators: int) -> Iterable[AcceleratorBucket]:
        """Yield shelves with enough accelerators, fewest free first.

        Workers without accelerators come before all others.
        """
        least = accelerators or _NO_ACCELERATORS
        for key in self._buckets_by_accelerators.irange(least):
            yield self._buckets_by_accelerators[key]

    def largest(self) -> Resources:
        """Return the most of each resource that any one worker has free."""
        if not self._places_by_worker_id:
            return Resources()
        buckets = self._buckets_by_accelerators
        tops = [bucket.largest() for bucket in buckets.values()]
        return Resources(
            max(cpu for cpu, _ in tops),
            max(memory for _, memory in tops),
            max(buckets.keys()[-1], 0),
        )


def _walk(
    entries: SortedList,
    first: int,
    tightest_first: bool,
) -> Iterator[tuple[int, int, str]]:
    return entries.islice(first, reverse=not tightest_first)


def _memory_class(memory_mb: int) -> int:
    """Return a class number that never falls as memory grows."""
    shift = max(memory_mb.bit_length() - _CLASS_BITS - 1, 0)
    return (shift << _CLASS_BITS) + (memory_mb >> shift)
