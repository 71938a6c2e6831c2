"""Keep a found trace among the tests: shrink it, then write it with a note.

Run ``python tools/keep_trace.py found/agent.json NAME 'what it shows'`` while
the fault that it shows still stands.
"""

import json
import sys
from pathlib import Path

from tests.agent_simulation import AgentSimulation

TRACES = Path('tests') / 'traces'


def fails(steps: list[list[object]]) -> bool:
    """Replay steps; say whether something that must hold does not."""
    simulation = AgentSimulation()
    try:
        replay(simulation, steps)
    except (AssertionError, KeyError):
        return True
    return False


def replay(simulation: AgentSimulation, steps: list[list[object]]) -> None:
    """Take all steps, then check that the nodes converge."""
    for step in steps:
        simulation.apply(step)
    simulation.converge()
    simulation.check_converged()


def shrink(steps: list[list[object]]) -> list[list[object]]:
    """Leave out each step without which it fails all the same."""
    index = len(steps) - 1
    while index >= 0:
        fewer = steps[:index] + steps[index + 1 :]
        if fails(fewer):
            steps = fewer
        index -= 1
    return steps


def main() -> int:
    """Shrink the trace and write it."""
    found, name, shows = sys.argv[1:]
    steps = json.loads(Path(found).read_text())['steps']
    if not fails(steps):
        sys.stderr.write(f'{found}: does not fail\n')
        return 1
    trace = {'shows': shows, 'steps': shrink(steps)}
    (TRACES / f'agent-{name}.json').write_text(f'{json.dumps(trace)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
