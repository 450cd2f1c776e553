"""Command line: the daemon, and requests of callers and operators."""

import sys
from pathlib import Path
from typing import Any

import fire
import msgspec

from apricotlead.cell_settings import CellEntrySettings
from apricotlead.log_search import explain_job
from apricotlead.protocol.errors import ApricotleadError
from apricotlead.settings import Settings
from apricotlead.state.config_view import hash_key

_CALL_TIMEOUT_S = 15.0
_EXIT_ERROR = 2


class CallError(ApricotleadError):
    """An entry instance refused a request or could not be reached."""

    kind = 'call'
    remedy = 'Check the address, the key and the message above.'


class Commands:
    """apricotlead, a cluster scheduler.

    ADDRESS is the IP:port of any entry instance.
    """

    def entry(self, settings: str) -> None:
        """Run an entry instance until SIGTERM or SIGINT.

        ``settings`` is the path of a YAML file.
        """
        # Imported here because the other commands need no network stack.
        from apricotlead.entry import run_entry

        run_entry(Settings.from_file(settings))

    def check(self, settings: str) -> str:
        """Check a settings file; print it with all defaults."""
        checked = Settings.from_file(settings)
        return msgspec.yaml.encode(checked).decode()

    def check_cell(self, settings: str) -> str:
        """Check the settings of a cell's instance; print with all defaults."""
        checked = CellEntrySettings.from_file(settings)
        return msgspec.yaml.encode(checked).decode()

    def explain(self, job_id: str, *files: str) -> str:
        """Print the lines about a job in the logs of all instances."""
        lines: list[str] = []
        for name in files:
            try:
                text = Path(name).read_text(errors='replace')
            except OSError as error:
                raise CallError(f'{name} cannot be read: {error}.') from error
            lines.extend(text.splitlines())
        matches = explain_job(str(job_id), lines)
        return '\n'.join(matches) or f'No line names job {job_id}.'

    def digest(self, key: str) -> str:
        """Print the digest of a key as stored in the configuration."""
        return hash_key(str(key))

    def submit(self, address: str, job: dict[str, Any], key: str = '') -> Any:
        """Submit a job; JOB is the JSON body of ``POST /v1/jobs``."""
        return _call(address, '/v1/jobs', job, _caller_headers(key))

    def status(self, address: str, job_id: str, key: str = '') -> Any:
        """Print the status of a job."""
        return _call(address, f'/v1/jobs/{job_id}', None, _caller_headers(key))

    def cancel(self, address: str, *job_ids: str, key: str = '') -> Any:
        """Cancel jobs."""
        body = {'job_ids': job_ids}
        return _call(address, '/v1/jobs/cancel', body, _caller_headers(key))

    def config(self, address: str, operator_key: str) -> Any:
        """Print the configuration in force."""
        return _call(
            address, '/v1/config', None, _operator_headers(operator_key)
        )

    def change(
        self,
        address: str,
        operator_key: str,
        base_version: int,
        change: dict[str, Any],
    ) -> Any:
        """Change the configuration if it is still at ``base_version``."""
        body = {'base_version': base_version, 'change': change}
        return _call(
            address, '/v1/config', body, _operator_headers(operator_key)
        )

    def state(self, address: str, operator_key: str) -> Any:
        """Dump the state of an entry instance."""
        return _call(
            address, '/v1/state', None, _operator_headers(operator_key)
        )


def main() -> None:
    """Run a command; on an error print the message and exit with 2."""
    try:
        fire.Fire(Commands(), name='apricotlead', serialize=_render)
    except ApricotleadError as error:
        sys.stderr.write(f'apricotlead: {error}\n')
        sys.exit(_EXIT_ERROR)


def _caller_headers(key: str) -> dict[str, str]:
    return {'X-Apricotlead-Key': str(key)}


def _operator_headers(key: str) -> dict[str, str]:
    return {'X-Apricotlead-Operator-Key': str(key)}


def _call(
    address: str,
    path: str,
    body: dict[str, Any] | None,
    headers: dict[str, str],
) -> Any:
    import urllib3

    try:
        response = urllib3.request(
            'GET' if body is None else 'POST',
            f'http://{address}{path}',
            body=None if body is None else msgspec.json.encode(body),
            headers=headers,
            retries=False,
            timeout=_CALL_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError as error:
        raise CallError(f'{address} gave no answer: {error}.') from error
    if response.status >= 400:
        message = response.data.decode()
        raise CallError(f'{response.status}: {message}.')
    return msgspec.json.decode(response.data)


def _render(printed: Any) -> Any:
    """Return text unchanged and other values as indented JSON."""
    if printed is None or isinstance(printed, str):
        return printed
    encoded = msgspec.json.encode(printed)
    return msgspec.json.format(encoded).decode()
