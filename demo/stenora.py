"""A small cell like that of Stenora, and the requests of its callers."""

import random
import time
from collections.abc import Callable, Collection
from itertools import repeat
from typing import Any

from apricotlead.state.config_view import hash_key
from demo.processes import Answer, Cell, Node, call

DATACENTRES = ('almaty-a', 'almaty-b', 'almaty-c')
SERVICE = 'stenograf'
TEAMS = ('courts', 'notaries')
ENDED_STATES = frozenset(('done', 'refused', 'cancelled', 'may_have_run'))
DEFAULT_LIMIT = 40
_POLL_S = 0.05


def key_of(team: str) -> str:
    """Return the API key that the demo grants to a team."""
    return f'key-of-{team}'


def wait_until(
    condition: Callable[[], Any],
    seconds: float = 30,
    poll_s: float = _POLL_S,
) -> Any:
    """Poll ``condition`` and return its first true result.

    Raises ``TimeoutError`` after ``seconds``.
    """
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        outcome = condition()
        if outcome:
            return outcome
        time.sleep(poll_s)
    raise TimeoutError(f'{condition} was not true within {seconds} s')


class Stenora:
    """Entry instances, workers and executors over three data centres."""

    def __init__(
        self,
        cell: Cell,
        seed: int = 1,
        **entry_settings: Any,
    ) -> None:
        """Create it without processes.

        ``seed`` selects the entry instances that callers ask.
        """
        self.cell = cell
        self.rng = random.Random(seed)
        self.entries: list[str] = []
        self.workers: list[str] = []
        self.teams_by_job: dict[str, str] = {}
        self.non_idempotent_ids: set[str] = set()
        self._entry_settings = entry_settings
        self._started = 0

    def start(
        self,
        entries: int = 3,
        workers: int = 3,
        executors: int = 3,
        **worker_options: Any,
    ) -> 'Stenora':
        """Start all processes and wait until the entry instances are ready."""
        self.cell.start_platform()
        for number in range(executors):
            self.cell.start_executor(
                f'executor-{number}',
                DATACENTRES[number % 3],
                SERVICE,
            )
        for number in range(workers):
            name = f'worker-{number}'
            self.workers.append(name)
            self.cell.start_worker(
                name,
                DATACENTRES[number % 3],
                **worker_options,
            )
        for _ in range(entries):
            self.start_entry()
        wait_until(self.is_ready)
        return self

    def start_entry(self) -> str:
        """Start another entry instance; return its name."""
        name = f'entry-{self._started}'
        datacentre = DATACENTRES[self._started % 3]
        self._started += 1
        self.cell.start_entry(name, datacentre, **self._entry_settings)
        self.entries.append(name)
        return name

    def replace_entry(self, name: str, stop: Callable[[Node], Any]) -> str:
        """Stop an entry instance and start another one."""
        stop(self.cell.node(name))
        self.entries.remove(name)
        return self.start_entry()

    def is_ready(self) -> bool:
        """Return whether all have a valid session and fresh configuration."""
        healths = [self.ask(name, '/v1/health') for name in self.entries]
        return all(
            health.body.get('session_valid') and health.body['config_fresh']
            for health in healths
        )

    def configure(self, limit: int = DEFAULT_LIMIT) -> None:
        """Create teams with keys and queues, and a queue open to all."""
        for team in TEAMS:
            self.change('put_team', team=_team(team, limit))
            self.change('put_queue', queue={'name': team, 'team': team})
            self.change(
                'grant_key',
                key_digest=hash_key(key_of(team)),
                team=team,
            )
        version = self.change('put_queue', queue={'name': 'open'}).body
        wait_until(lambda: self.has_version(version['version']))

    def change(self, kind: str, **fields: Any) -> Answer:
        """Make an operator's change; raise if it was not accepted."""
        node = self.node(self.entries[0])
        answer = self.cell.change_config(node, type=kind, **fields)
        if answer.status != 200:
            raise RuntimeError(str(answer))
        return answer

    def version(self) -> int:
        """Return the configuration version at the first entry instance.

        Changes of the configuration are sent to the same instance.
        """
        health = self.ask(self.entries[0], '/v1/health')
        return health.body['config_version']

    def has_version(self, version: int) -> bool:
        """Return whether all entry instances have at least this version."""
        return all(
            self.ask(name, '/v1/health').body['config_version'] >= version
            for name in self.entries
        )

    def node(self, name: str = '') -> Node:
        """Return the named entry instance, or a random one."""
        return self.cell.node(name or self.rng.choice(self.entries))

    def ask(self, name: str, path: str, **headers: str) -> Answer:
        """Send a GET request to an entry instance."""
        return call(self.node(name).address, path, **headers)

    def submit(
        self,
        team: str,
        tasks: int = 1,
        run_s: float = 0.2,
        entry: str = '',
        cpu_millis: int = 1000,
        **fields: Any,
    ) -> Answer:
        """Submit a job of equal tasks; record it if it was accepted."""
        task = {
            'demand': {'cpu_millis': cpu_millis, 'memory_mb': 512},
            'run_s': run_s,
        }
        answer = call(
            self.node(entry).address,
            '/v1/jobs',
            {'queue': team, 'tasks': list(repeat(task, tasks)), **fields},
            X_Apricotlead_Key=key_of(team),
        )
        if answer.status == 202:
            job_id = answer.body['job_id']
            self.teams_by_job[job_id] = team
            if not fields.get('idempotent', True):
                self.non_idempotent_ids.add(job_id)
        return answer

    def status(self, job_id: str, entry: str = '') -> Any:
        """Return the job status from the named or a random entry instance."""
        team = self.teams_by_job[job_id]
        return call(
            self.node(entry).address,
            f'/v1/jobs/{job_id}',
            X_Apricotlead_Key=key_of(team),
        ).body

    def look_up(
        self,
        text: str,
        queue: str = 'open',
        key: str = '',
        entry: str = '',
        **headers: str,
    ) -> Answer:
        """Send a lookup of a phrase to the named or a random entry instance."""
        return call(
            self.node(entry).address,
            f'/v1/services/{SERVICE}/lookup',
            text.encode(),
            X_Apricotlead_Queue=queue,
            X_Apricotlead_Key=key,
            **headers,
        )

    def wait_for_ends(
        self,
        job_ids: Collection[str],
        seconds: float = 60,
    ) -> dict[str, str]:
        """Wait until all jobs have ended; return their final states."""
        states_by_id: dict[str, str] = {}
        wait_until(
            lambda: self._all_ended(job_ids, states_by_id),
            seconds,
            poll_s=0.2,
        )
        return states_by_id

    def _all_ended(
        self,
        job_ids: Collection[str],
        states_by_id: dict[str, str],
    ) -> bool:
        for job_id in set(job_ids) - set(states_by_id):
            state = self.status(job_id).get('state')
            if state in ENDED_STATES:
                states_by_id[job_id] = state
        return len(states_by_id) == len(job_ids)


def _team(name: str, limit: int) -> dict[str, Any]:
    return {'name': name, 'organisation': 'Stenora', 'limit': limit}
