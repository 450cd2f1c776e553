"""What each mechanism is worth, by the journal entries of its ablation.

    python -m bench.ablation_table journal/*.json

prints, for each mechanism, the mean worth of the plays without it, the mean
difference to the plays of the whole code with the same day and seed, and the
spread of that difference by luck alone: two standard errors, by how far
repeated plays of the whole code differ.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean

import msgspec
from msgspec import Struct

_WITHOUT = 'ablation: without '
# The reasons given for plays of the whole code.
_BASELINES = ('ablation: baseline', 'what binds: ')
_STANDARD_ERRORS = 2
# A day as drawn by a seed: site, day, seed.
_Draw = tuple[str, str, int | None]


class _Day(Struct, frozen=True):
    """A day as played; ``G`` is its worth."""

    name: str
    seed: int | None = None
    G: float | None = None


class _Entry(Struct, frozen=True):
    """What is read of an entry."""

    cmd: str
    site: str | None = ''
    why: str | None = ''
    days: tuple[_Day, ...] = ()


class AblationTable:
    """The plays of the whole code, and those without a mechanism."""

    def __init__(self) -> None:
        """Begin without plays."""
        self._whole_by_draw: defaultdict[_Draw, list[float]]
        self._whole_by_draw = defaultdict(list)
        self._plays_by_mechanism: defaultdict[str, list[tuple[_Draw, float]]]
        self._plays_by_mechanism = defaultdict(list)

    def take(self, entry: _Entry) -> None:
        """Take the plays of an entry, if they are of an ablation."""
        why = entry.why or ''
        for day in entry.days:
            if day.G is None:
                continue
            draw = (entry.site, day.name, day.seed)
            if why.startswith(_BASELINES):
                self._whole_by_draw[draw].append(day.G)
            elif why.startswith(_WITHOUT):
                name = why.removeprefix(_WITHOUT)
                self._plays_by_mechanism[name].append((draw, day.G))

    def lines(self) -> Iterable[str]:
        """Return a line for each day, then for each mechanism."""
        deviations = self._deviations_by_day()
        for day, deviation in sorted(deviations.items()):
            shown = _share(deviation)
            yield f'{day}: standard deviation of a repeated play {shown}'
        yield 'mechanism: plays, mean, difference, spread, by day'
        rows = [
            (mean(self._differences(plays)), name, plays)
            for name, plays in self._plays_by_mechanism.items()
        ]
        for difference, name, plays in sorted(rows):
            figures = (
                str(len(plays)),
                _share(mean(play for _, play in plays)),
                _change(difference),
                _share(self._spread(plays, deviations)),
                *self._changes_by_day(plays),
            )
            shown = ', '.join(figures)
            yield f'{name}: {shown}'

    def _differences(self, plays: list[tuple[_Draw, float]]) -> list[float]:
        return [
            worth - mean(self._whole_by_draw[draw]) for draw, worth in plays
        ]

    def _changes_by_day(self, plays: list[tuple[_Draw, float]]) -> list[str]:
        by_day: defaultdict[str, list[float]] = defaultdict(list)
        for play in plays:
            by_day[play[0][1]].extend(self._differences([play]))
        return [
            f'{day} {_change(mean(differences))}'
            for day, differences in sorted(by_day.items())
        ]

    def _deviations_by_day(self) -> dict[str, float]:
        """Return how far plays of one draw differ, pooled over the seeds."""
        squares: defaultdict[str, float] = defaultdict(float)
        freedom: defaultdict[str, int] = defaultdict(int)
        for (_, day, _), plays in self._whole_by_draw.items():
            middle = mean(plays)
            squares[day] += sum((worth - middle) ** 2 for worth in plays)
            freedom[day] += len(plays) - 1
        return {
            day: (squares[day] / count) ** 0.5
            for day, count in freedom.items()
            if count
        }

    def _spread(
        self,
        plays: list[tuple[_Draw, float]],
        deviations: dict[str, float],
    ) -> float:
        variance = sum(
            deviations[draw[1]] ** 2 * (1 + 1 / len(self._whole_by_draw[draw]))
            for draw, _ in plays
        )
        return _STANDARD_ERRORS * variance**0.5 / len(plays)


def _share(share: float) -> str:
    return format(share, '.3f')


def _change(difference: float) -> str:
    return format(difference, '+.3f')


def main(paths: list[str]) -> None:
    """Print the table of some entries."""
    table = AblationTable()
    decoder = msgspec.json.Decoder(_Entry)
    for path in paths:
        table.take(decoder.decode(Path(path).read_bytes()))
    sys.stdout.writelines(f'{line}\n' for line in table.lines())


if __name__ == '__main__':
    main(sys.argv[1:])
