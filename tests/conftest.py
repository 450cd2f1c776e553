"""Hypothesis profiles, and deselection of the tests in KNOWN-RED.txt."""

import os
from pathlib import Path

from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
# Each entry of the file begins with a line ``test: NODE-ID``.
ENTRY_PREFIX = 'test:'

_COMMON = {
    'deadline': None,
    'database': None,
    'suppress_health_check': tuple(HealthCheck),
}

settings.register_profile(
    'ci',
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    **_COMMON,
)
settings.register_profile(
    'long',
    max_examples=2000,
    stateful_step_count=80,
    print_blob=True,
    **_COMMON,
)
settings.load_profile(os.environ.get('APRICOTLEAD_FUZZ', 'ci'))


def known_red_ids(text):
    """Return the node ids of the tests that the text of the file lists."""
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(ENTRY_PREFIX)
    }


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return
    red_ids = known_red_ids(KNOWN_RED.read_text())
    red = [item for item in items if item.nodeid in red_ids]
    config.hook.pytest_deselected(items=red)
    selected = [item for item in items if item not in red]
    items.clear()
    items.extend(selected)
