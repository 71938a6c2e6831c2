"""Shrink a failing trace and add it to the regression tests.

Run ``python tools/keep_trace.py found/agent.json NAME DESCRIPTION`` before the
fault is fixed, because shrinking needs a trace that still fails.
"""

import json
import sys
from pathlib import Path

from tests.agent_simulation import AgentSimulation

TRACES = Path('tests') / 'traces'


def fails(steps: list[list[object]]) -> bool:
    """Return whether a replay of the steps fails a check."""
    simulation = AgentSimulation()
    try:
        replay(simulation, steps)
    except (AssertionError, KeyError):
        return True
    return False


def replay(simulation: AgentSimulation, steps: list[list[object]]) -> None:
    """Apply all steps, then check that the nodes converge."""
    for step in steps:
        simulation.apply(step)
    simulation.converge()
    simulation.check_converged()


def shrink(steps: list[list[object]]) -> list[list[object]]:
    """Remove every step that is not needed for the failure, last ones first."""
    index = len(steps) - 1
    while index >= 0:
        fewer = steps[:index] + steps[index + 1 :]
        if fails(fewer):
            steps = fewer
        index -= 1
    return steps


def main() -> int:
    """Shrink the trace and write it to ``tests/traces``."""
    path, name, description = sys.argv[1:]
    steps = json.loads(Path(path).read_text())['steps']
    if not fails(steps):
        sys.stderr.write(f'{path}: the trace does not fail\n')
        return 1
    trace = {'shows': description, 'steps': shrink(steps)}
    (TRACES / f'agent-{name}.json').write_text(f'{json.dumps(trace)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
