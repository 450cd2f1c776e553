"""Removes one mechanism from a copy of the source tree, to measure its effect.

    python -m bench.ablation list
    python -m bench.ablation NAME TREE

edits the copy of the repository at TREE: the function that implements the
mechanism returns a neutral value at once, which disables the mechanism. The
product itself has no such switches.
"""

import ast
import sys
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

_PACKAGE = 'src/apricotlead'
_SETTINGS_TEMPLATE = 'deploy/settings.yaml.template'
_Edit = Callable[[Path], None]
_edits_by_name: dict[str, _Edit] = {}


class _Function(Struct, frozen=True):
    """A function of a module; a method is named as ``Class.name``."""

    module: str
    name: str

    def path(self, tree: Path) -> Path:
        """Return the file of the module in a tree."""
        return tree / _PACKAGE / f'{self.module}.py'

    def find(self, source: str) -> ast.FunctionDef:
        """Return the definition of the function in the source text."""
        body: list[ast.stmt] = ast.parse(source).body
        found: ast.stmt | None = None
        for part in self.name.split('.'):
            found = next(
                node for node in body if getattr(node, 'name', '') == part
            )
            body = found.body
        return found


def _mechanism(name: str) -> Callable[[_Edit], _Edit]:
    """Register an edit that removes a mechanism from a tree."""

    def register(edit: _Edit) -> _Edit:
        _edits_by_name[name] = edit
        return edit

    return register


def _register_early_return(
    name: str, module: str, function: str, returned: str
) -> None:
    """Register a mechanism that an early return in a function disables."""
    target = _Function(module, function)

    @_mechanism(name)
    def edit(tree: Path) -> None:
        path = target.path(tree)
        source = path.read_text()
        node = target.find(source)
        has_docstring = ast.get_docstring(node) is not None
        first = node.body[int(has_docstring)]
        lines = source.splitlines()
        indent = ' ' * first.col_offset
        lines.insert(first.lineno - 1, f'{indent}return {returned}')
        path.write_text('\n'.join((*lines, '')))


_CELL = 'coordination/cell'
_EARLY_RETURNS = (
    ('weights', f'{_CELL}/order', '_exceeds_weight', 'False'),
    ('lateness', f'{_CELL}/order', '_is_late', 'False'),
    ('worthless jobs last', f'{_CELL}/order', 'misses_cutoff', 'False'),
    ('fast workers for urgent', f'{_CELL}/order', 'is_urgent', 'False'),
    ('refusal at the door', f'{_CELL}/admission', 'check_admission', 'None'),
    (
        'workers kept for gangs',
        f'{_CELL}/gang_reservations',
        'GangReservations.reserve',
        'None',
    ),
    (
        'places spared for gangs',
        f'{_CELL}/placement',
        'WorkerHeadroom.displaces_gang_task',
        'False',
    ),
    ('straggler stops', f'{_CELL}/stragglers', 'is_straggler', 'False'),
    (
        'errors of estimates',
        'state/estimate_errors',
        'EstimateErrors.factor',
        '1.0',
    ),
    ('evacuation', f'{_CELL}/evacuation', 'runs_to_evacuate', '[]'),
    ('pauses between holds', f'{_CELL}/hold_pacing', 'may_delay_hold', 'False'),
    (
        'patience with short terms',
        f'{_CELL}/election',
        'silence_timeout_s',
        'times.silent_owner_s',
    ),
    ('deputies', f'{_CELL}/election', 'rank_deputies', '{}'),
    (
        'askers kept for cheap calls',
        f'{_CELL}/askers',
        'AskerSelector._allowed',
        'ordered',
    ),
    (
        'lost askers left alone',
        f'{_CELL}/askers',
        'AskerSelector.missed',
        'None',
    ),
    (
        'room kept for answers',
        f'{_CELL}/advice_planning',
        'AdvicePlanner._reserve_for_answer',
        'None',
    ),
    (
        'askers share workers',
        f'{_CELL}/advice_cache',
        'AdviceCache._divide',
        '[worker_ids[:_MAX_WORKERS_PER_CALL]] if worker_ids else []',
    ),
    (
        'workers in doubt',
        'state/cell_workers',
        'WorkerState.is_suspected',
        'False',
    ),
    (
        'ends of former runs',
        f'{_CELL}/run_ends',
        'RunEndHandler._apply_superseded',
        'None',
    ),
    ('hedged writes', 'transport/hedging', 'hedged', 'call()'),
    (
        'announced jobs',
        'transport/cell_candidate',
        'CellCandidate.announce',
        'None',
    ),
    (
        'relay by peers',
        'transport/store_relay',
        'StoreRelay._call_through_peer',
        'None',
    ),
)


@_mechanism('long leases')
def _shorten_leases(tree: Path) -> None:
    path = tree / _SETTINGS_TEMPLATE
    leases = '  leases:\n    lease_s: 6.0\n    longest_s: 7.5\n'
    path.write_text(f'{path.read_text()}{leases}')


def _register_early_returns() -> None:
    for entry in _EARLY_RETURNS:
        _register_early_return(*entry)


def main(arguments: list[str]) -> None:
    """List the mechanisms, or remove one from a tree."""
    _register_early_returns()
    if arguments == ['list']:
        sys.stdout.writelines(f'{name}\n' for name in sorted(_edits_by_name))
        return
    name, tree = arguments
    _edits_by_name[name](Path(tree))


if __name__ == '__main__':
    main(sys.argv[1:])
