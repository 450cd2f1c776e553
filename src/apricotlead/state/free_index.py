"""Index of workers by free resources, to avoid scanning all workers."""

from collections.abc import Container, Iterable, Iterator

from sortedcontainers import SortedDict, SortedList

from apricotlead.protocol.resources import Resources

# Key of the workers without any accelerators, which sorts before all others.
_NO_ACCELERATORS = -1
# Each power of two of memory is split into 2 ** _CLASS_BITS memory classes.
_CLASS_BITS = 3


class _MemoryBucket:
    """Workers of one accelerator bucket and memory class, in two orders."""

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
        """Yield fitting workers, scanning the shorter of the two orders."""
        cpu, memory = demand.cpu_millis, demand.memory_mb
        first_cpu = self.by_cpu.bisect_left((cpu,))
        first_memory = self.by_memory.bisect_left((memory,))
        if first_cpu >= first_memory:
            ordered = _iterate_from(self.by_cpu, first_cpu, tightest_first)
            return (entry[2] for entry in ordered if entry[1] >= memory)
        ordered = _iterate_from(self.by_memory, first_memory, tightest_first)
        return (entry[2] for entry in ordered if entry[1] >= cpu)


class AcceleratorBucket:
    """Workers with the same number of free accelerators."""

    __slots__ = ('_buckets_by_memory_class',)

    def __init__(self) -> None:
        """Start empty."""
        self._buckets_by_memory_class = SortedDict()

    def __bool__(self) -> bool:
        """Return whether the bucket contains any worker."""
        return bool(self._buckets_by_memory_class)

    def add(self, free: Resources, worker_id: str) -> None:
        """Add a worker."""
        memory_class = _memory_class(free.memory_mb)
        memory_bucket = self._buckets_by_memory_class.get(memory_class)
        if memory_bucket is None:
            memory_bucket = self._buckets_by_memory_class.setdefault(
                memory_class, _MemoryBucket()
            )
        memory_bucket.add(free, worker_id)

    def remove(self, free: Resources, worker_id: str) -> None:
        """Remove a worker; ``free`` must be as it was added."""
        memory_class = _memory_class(free.memory_mb)
        memory_bucket = self._buckets_by_memory_class[memory_class]
        memory_bucket.remove(free, worker_id)
        if not memory_bucket.by_cpu:
            self._buckets_by_memory_class.pop(memory_class)

    def candidates(
        self,
        demand: Resources,
        avoid: Container[str],
        tightest_first: bool,
    ) -> Iterator[str]:
        """Yield one fitting worker from each memory class.

        With ``tightest_first`` the workers with the least free memory come
        first, otherwise those with the most.
        """
        classes = self._buckets_by_memory_class.irange(
            _memory_class(demand.memory_mb),
            reverse=not tightest_first,
        )
        for memory_class in classes:
            memory_bucket = self._buckets_by_memory_class[memory_class]
            for worker_id in memory_bucket.fitting(demand, tightest_first):
                if worker_id not in avoid:
                    yield worker_id
                    break

    def largest(self) -> tuple[int, int]:
        """Return the maxima of free processors (millis) and memory (MiB)."""
        memory_buckets = self._buckets_by_memory_class.values()
        cpu = max(
            memory_bucket.by_cpu[-1][0] for memory_bucket in memory_buckets
        )
        return cpu, memory_buckets[-1].by_memory[-1][0]


class FreeIndex:
    """Workers by free accelerators, then memory class, then processors.

    An update costs O(log n). A search looks at one worker in each of at most
    about 100 memory classes of an accelerator bucket, and scans further only
    in the memory class of the demand itself.
    """

    __slots__ = ('_buckets_by_accelerators', '_positions_by_worker_id')

    def __init__(self) -> None:
        """Start empty."""
        self._positions_by_worker_id: dict[str, tuple[int, Resources]] = {}
        self._buckets_by_accelerators = SortedDict()

    def __len__(self) -> int:
        """Return the number of workers in the index."""
        return len(self._positions_by_worker_id)

    def put(self, worker_id: str, free: Resources, accelerated: bool) -> None:
        """Insert or move a worker.

        A worker with a negative free amount is left out.
        """
        key = free.accelerators if accelerated else _NO_ACCELERATORS
        if self._positions_by_worker_id.get(worker_id) == (key, free):
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
        self._positions_by_worker_id[worker_id] = (key, free)

    def remove(self, worker_id: str) -> None:
        """Remove a worker if it is in the index."""
        position = self._positions_by_worker_id.pop(worker_id, None)
        if position is None:
            return
        key, free = position
        bucket = self._buckets_by_accelerators[key]
        bucket.remove(free, worker_id)
        if not bucket:
            self._buckets_by_accelerators.pop(key)

    def buckets(self, accelerators: int) -> Iterable[AcceleratorBucket]:
        """Yield buckets with enough accelerators, fewest free first.

        Workers without accelerators come before all others.
        """
        least = accelerators or _NO_ACCELERATORS
        for key in self._buckets_by_accelerators.irange(least):
            yield self._buckets_by_accelerators[key]

    def largest(self) -> Resources:
        """Return the maximum of each resource that is free on any worker."""
        if not self._positions_by_worker_id:
            return Resources()
        buckets = self._buckets_by_accelerators
        maxima = [bucket.largest() for bucket in buckets.values()]
        return Resources(
            max(cpu for cpu, _ in maxima),
            max(memory for _, memory in maxima),
            max(buckets.keys()[-1], 0),
        )


def _iterate_from(
    entries: SortedList,
    first: int,
    tightest_first: bool,
) -> Iterator[tuple[int, int, str]]:
    return entries.islice(first, reverse=not tightest_first)


def _memory_class(memory_mb: int) -> int:
    """Return a class number that never decreases as memory grows."""
    shift = max(memory_mb.bit_length() - _CLASS_BITS - 1, 0)
    return (shift << _CLASS_BITS) + (memory_mb >> shift)
