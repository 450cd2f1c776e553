"""Bytes, processor time and freshness of gossip between many sessions.

``python -m bench.gossip_cost``. All gossip keepers run in one process on a
simulated clock; every session has a load for every team, and all loads change
each round.
"""

import json
import sys
import uuid
from random import Random
from time import process_time

import fire

from apricotlead.coordination.gossip import GossipKeeper, GossipSettings
from apricotlead.protocol.peers import Envelope, TeamLoad
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import SendToPeer, Tick
from apricotlead.state.config_view import ConfigView
from apricotlead.state.session_view import PeerSession, SessionView
from apricotlead.state.usage_table import UsageTable
from apricotlead.transport.peer_links import decode_envelope, encode_envelope

ROUNDS_PER_S = 4
WARM_UP_ROUNDS = 40
CAPACITY = Resources(10_000_000, 40_000_000, 300)


class GossipCell:
    """Sessions that are all peers of each other."""

    def __init__(self, sessions: int, teams: int) -> None:
        """Create the keepers of all sessions, each with loads of all teams."""
        self._rng = Random(1)
        self._teams = teams
        self._names = tuple(uuid.UUID(int=n).hex for n in range(sessions))
        self._usage_by_name = {name: UsageTable() for name in self._names}
        self._keepers_by_name = {
            name: self._keeper(name) for name in self._names
        }
        self.bytes = 0
        self.messages = 0
        self.cpu_s = 0.0
        self.ages_s: list[float] = []

    def round(self, now: float, measured: bool) -> None:
        """Send and deliver the messages of one gossip round."""
        begun_s = process_time()
        for keeper in self._keepers_by_name.values():
            for sent in tuple(keeper.on_tick(Tick(), now)):
                self._deliver(sent, now, measured)
        if measured:
            self.cpu_s += process_time() - begun_s
            for usage in self._usage_by_name.values():
                self.ages_s.extend(usage.ages_by_session(now).values())

    def _deliver(self, sent: SendToPeer, now: float, measured: bool) -> None:
        encoded = encode_envelope(Envelope(self._names[0], sent.message))
        message = decode_envelope(encoded).message
        tuple(self._keepers_by_name[sent.session_id].on_gossip(message, now))
        if measured:
            self.bytes += len(encoded)
            self.messages += 1

    def _keeper(self, name: str) -> GossipKeeper:
        view = SessionView(name, 'dc')
        view.peers_by_id = {
            peer: PeerSession(peer, '127.0.0.1:0', 'dc')
            for peer in self._names
            if peer != name
        }
        return GossipKeeper.from_config(
            GossipSettings(),
            view,
            ConfigView(),
            self._usage_by_name[name],
            self._rng,
            self._loads,
            lambda: (CAPACITY, CAPACITY, CAPACITY),
        )

    def _loads(self) -> dict[str, TeamLoad]:
        return {
            f'organisation-team-{n}': TeamLoad(
                self._random_resources(),
                self._random_resources(),
            )
            for n in range(self._teams)
        }

    def _random_resources(self) -> Resources:
        draw = self._rng.randrange
        return Resources(draw(400_000), draw(1_000_000), draw(40))


def measure(sessions: int, teams: int, seconds: int) -> dict[str, float]:
    """Measure after a warm-up in which all sessions exchanged their loads."""
    cell = GossipCell(sessions, teams)
    for index in range(WARM_UP_ROUNDS + seconds * ROUNDS_PER_S):
        cell.round(index / ROUNDS_PER_S, index >= WARM_UP_ROUNDS)
    per_session_s = sessions * seconds
    return {
        'sessions': sessions,
        'teams': teams,
        'sent_bytes_per_s': round(cell.bytes / per_session_s),
        'messages_per_s': round(cell.messages / per_session_s, 1),
        'cpu_share': round(cell.cpu_s / per_session_s, 4),
        'mean_age_s': round(sum(cell.ages_s) / len(cell.ages_s), 2),
        'max_age_s': max(cell.ages_s),
    }


def main(seconds: int = 4) -> None:
    """Print one JSON line for each number of sessions and teams."""
    for sessions, teams in ((10, 61), (60, 1), (60, 61)):
        report = measure(sessions, teams, seconds)
        sys.stdout.write(f'{json.dumps(report)}\n')


if __name__ == '__main__':
    fire.Fire(main)
