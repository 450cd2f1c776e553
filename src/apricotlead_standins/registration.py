"""Registration of workers and executors in the platform's list."""

import time
from collections.abc import Callable
from http import HTTPStatus
from itertools import count
from typing import Any

import eventlet
from eventlet.green.http.client import HTTPConnection, HTTPException
from msgspec.json import encode

_PERIOD_S = 1.0
# Several periods, so that an instance survives a few lost registrations.
_TTL_S = 5.0
_TIMEOUT_S = 2.0


class Registrar:
    """Registers one instance periodically until the process ends."""

    __slots__ = ('_instance', '_is_leaving', '_is_silent', '_platform')

    def __init__(
        self,
        platform: str,
        instance: dict[str, Any],
        is_leaving: Callable[[], bool],
        is_silent: Callable[[float], bool],
    ) -> None:
        """Prepare to register ``instance`` at ``platform`` (``IP:port``).

        :meth:`run` sends nothing while ``is_silent(now)`` is true, so that a
        paused or stopped instance expires from the list.
        """
        self._platform = platform
        self._instance = instance
        self._is_leaving = is_leaving
        self._is_silent = is_silent

    def run(self) -> None:
        """Register once per period, unless silent."""
        for _ in count():
            if not self._is_silent(time.monotonic()):
                self.register()
            eventlet.sleep(_PERIOD_S)

    def register(self) -> bool:
        """Register once; return whether the platform accepted it."""
        instance = {**self._instance, 'leaving': self._is_leaving()}
        body = encode({'instance': instance, 'ttl_s': _TTL_S})
        connection = HTTPConnection(self._platform, timeout=_TIMEOUT_S)
        try:
            return _post(connection, body) == HTTPStatus.OK
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()


def _post(connection: HTTPConnection, body: bytes) -> int:
    connection.request('POST', '/admin/instances', body)
    return connection.getresponse().status
