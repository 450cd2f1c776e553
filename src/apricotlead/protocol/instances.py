"""The platform's lagging list of live and leaving instances."""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.resources import Resources

InstanceRole = Literal['entry', 'executor', 'worker']


class Instance(Struct, frozen=True, omit_defaults=True):
    """One instance; ``address`` is ``IP:port``.

    ``capacity`` is set for workers; ``service`` and ``slots`` for executors.
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
    """The whole list."""

    instances: tuple[Instance, ...]
