"""One hypothesis profile, so that each run gives the same verdict."""

import os

from hypothesis import HealthCheck, settings

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
