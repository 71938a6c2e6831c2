"""Hypothesis profiles for the tests.

The default profile ``ci`` uses the same examples in every run; ``search``
tries more examples, at random; ``mutants`` does not shrink failing examples.
"""

import os

from hypothesis import HealthCheck, Phase, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    'search',
    parent=settings.get_profile('ci'),
    derandomize=False,
    max_examples=3000,
    stateful_step_count=80,
    print_blob=True,
)
settings.register_profile(
    'mutants',
    parent=settings.get_profile('ci'),
    phases=[Phase.explicit, Phase.generate],
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
