"""Effect of each mechanism, from the journal entries of its ablation.

    python -m bench.ablation_table journal/*.json

prints, for each mechanism, the mean worth of the runs without it, the mean
difference to the baseline runs (all mechanisms in place) with the same day
and seed, and the spread of that difference by chance: two standard errors,
estimated from repeated baseline runs. The printed table calls a run a play.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean

import msgspec
from msgspec import Struct

_WITHOUT = 'ablation: without '
# Prefixes of ``why`` in the entries of baseline runs.
_BASELINES = ('ablation: baseline', 'what binds: ')
_STANDARD_ERRORS = 2
# What determines the workload of a run: site, day, seed.
_Draw = tuple[str, str, int | None]


class _Day(Struct, frozen=True):
    """One run of a day's workload; ``G`` is its worth."""

    name: str
    seed: int | None = None
    G: float | None = None


class _Entry(Struct, frozen=True):
    """The fields of a journal entry that the table reads."""

    cmd: str
    site: str | None = ''
    why: str | None = ''
    days: tuple[_Day, ...] = ()


class AblationTable:
    """Compares the runs without a mechanism to the baseline runs."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._baseline_by_draw: defaultdict[_Draw, list[float]]
        self._baseline_by_draw = defaultdict(list)
        self._runs_by_mechanism: defaultdict[str, list[tuple[_Draw, float]]]
        self._runs_by_mechanism = defaultdict(list)

    def add_entry(self, entry: _Entry) -> None:
        """Add the runs of an entry; entries of other benchmarks are ignored."""
        why = entry.why or ''
        for day in entry.days:
            if day.G is None:
                continue
            draw = (entry.site, day.name, day.seed)
            if why.startswith(_BASELINES):
                self._baseline_by_draw[draw].append(day.G)
            elif why.startswith(_WITHOUT):
                name = why.removeprefix(_WITHOUT)
                self._runs_by_mechanism[name].append((draw, day.G))

    def lines(self) -> Iterable[str]:
        """Return a line for each day, then for each mechanism."""
        deviations = self._deviations_by_day()
        for day, deviation in sorted(deviations.items()):
            text = _three_decimals(deviation)
            yield f'{day}: standard deviation of a repeated play {text}'
        yield 'mechanism: plays, mean, difference, spread, by day'
        rows = [
            (mean(self._differences(runs)), name, runs)
            for name, runs in self._runs_by_mechanism.items()
        ]
        for difference, name, runs in sorted(rows):
            figures = (
                str(len(runs)),
                _three_decimals(mean(worth for _, worth in runs)),
                _signed(difference),
                _three_decimals(self._spread(runs, deviations)),
                *self._changes_by_day(runs),
            )
            text = ', '.join(figures)
            yield f'{name}: {text}'

    def _differences(self, runs: list[tuple[_Draw, float]]) -> list[float]:
        return [
            worth - mean(self._baseline_by_draw[draw]) for draw, worth in runs
        ]

    def _changes_by_day(self, runs: list[tuple[_Draw, float]]) -> list[str]:
        by_day: defaultdict[str, list[float]] = defaultdict(list)
        for run in runs:
            by_day[run[0][1]].extend(self._differences([run]))
        return [
            f'{day} {_signed(mean(differences))}'
            for day, differences in sorted(by_day.items())
        ]

    def _deviations_by_day(self) -> dict[str, float]:
        """Return the standard deviation of runs of one draw, by day.

        Pooled over the seeds; days without repeated runs are left out.
        """
        squares: defaultdict[str, float] = defaultdict(float)
        degrees_of_freedom: defaultdict[str, int] = defaultdict(int)
        for (_, day, _), runs in self._baseline_by_draw.items():
            average = mean(runs)
            squares[day] += sum((worth - average) ** 2 for worth in runs)
            degrees_of_freedom[day] += len(runs) - 1
        return {
            day: (squares[day] / count) ** 0.5
            for day, count in degrees_of_freedom.items()
            if count
        }

    def _spread(
        self,
        runs: list[tuple[_Draw, float]],
        deviations: dict[str, float],
    ) -> float:
        variance = sum(
            deviations[draw[1]] ** 2
            * (1 + 1 / len(self._baseline_by_draw[draw]))
            for draw, _ in runs
        )
        return _STANDARD_ERRORS * variance**0.5 / len(runs)


def _three_decimals(share: float) -> str:
    return format(share, '.3f')


def _signed(difference: float) -> str:
    return format(difference, '+.3f')


def main(paths: list[str]) -> None:
    """Print the table of the entries in these files."""
    table = AblationTable()
    decoder = msgspec.json.Decoder(_Entry)
    for path in paths:
        table.add_entry(decoder.decode(Path(path).read_bytes()))
    sys.stdout.writelines(f'{line}\n' for line in table.lines())


if __name__ == '__main__':
    main(sys.argv[1:])
