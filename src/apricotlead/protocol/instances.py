"""The platform's list of live and draining instances, which may be stale."""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.resources import Resources

InstanceRole = Literal['entry', 'executor', 'worker']


class Instance(Struct, frozen=True, omit_defaults=True):
    """One instance; ``address`` is ``IP:port``.

    ``capacity`` is set for workers, ``service`` and ``slots`` for executors.
    """

    instance_id: str
    role: InstanceRole
    address: str
    datacentre: str
    rack: str = ''
    leaving: bool = False
    capacity: Resources = Resources()
    service: str = ''
    slots: int = 0


class InstanceList(Struct, frozen=True):
    """The complete list of instances.

    ``unusable_count`` is the number of entries that were left out, as they
    could not be decoded or have an address or amount out of range.
    """

    instances: tuple[Instance, ...]
    unusable_count: int = 0
