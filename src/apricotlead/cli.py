"""The command line: ``apricotlead entry``, ``check``, and operators' calls."""

import sys
from typing import Any

import fire
import msgspec

from apricotlead.protocol.errors import ApricotleadError
from apricotlead.settings import Settings


class Commands:
    """apricotlead, a cluster scheduler."""

    def entry(self, settings: str) -> None:
        """Run an entry instance until SIGTERM or SIGINT.

        ``settings`` is the path of a YAML file.
        """
        # Imported here, so that no other command loads the network stack.
        from apricotlead.entry import run_entry  # noqa: PLC0415

        run_entry(Settings.from_file(settings))

    def check(self, settings: str) -> str:
        """Check a settings file and print it with all defaults."""
        checked = Settings.from_file(settings)
        return msgspec.yaml.encode(checked).decode()

    def digest(self, key: str) -> str:
        """Print the digest of a key, as the configuration keeps it."""
        from apricotlead.transport.http_server import (  # noqa: PLC0415
            key_digest,
        )

        return key_digest(str(key))

    def config(self, address: str, operator_key: str) -> Any:
        """Print the configuration in force at an entry instance."""
        return self._operator_call(address, operator_key, None)

    def change(
        self,
        address: str,
        operator_key: str,
        base_version: int,
        change: dict[str, Any],
    ) -> Any:
        """Change the configuration that is at ``base_version``."""
        body = {'base_version': base_version, 'change': change}
        return self._operator_call(address, operator_key, body)

    def _operator_call(
        self,
        address: str,
        operator_key: str,
        body: dict[str, Any] | None,
    ) -> Any:
        import urllib3  # noqa: PLC0415

        response = urllib3.request(
            'GET' if body is None else 'POST',
            f'http://{address}/v1/config',
            body=None if body is None else msgspec.json.encode(body),
            headers={'X-Apricotlead-Operator-Key': str(operator_key)},
            retries=False,
        )
        return msgspec.json.decode(response.data)


def main() -> None:
    """Run a command; print an error for people and exit with 2."""
    try:
        fire.Fire(Commands, name='apricotlead')
    except ApricotleadError as error:
        sys.stderr.write(f'apricotlead: {error}\n')
        sys.exit(2)
