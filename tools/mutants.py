"""Switch one mechanism off at a time, and see that the tests notice.

Each entry of ``tests/mutants.json`` names a mechanism, the change that
disables it, and the tests that must then fail. The change is made in a copy.
Tests that hang without the mechanism have noticed as well.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TypedDict, cast

ROOT = Path(__file__).resolve().parent.parent
TESTS_FAILED = 1
LIMIT_S = 60
NOTICED = ('caught', 'hung')
PARTS = (
    'marjoramlead',
    'standins',
    'bench',
    'tests',
    'examples',
    'pyproject.toml',
)


class Mutant(TypedDict):
    """One mechanism switched off.

    Attributes
    ----------
    tests
        Arguments for pytest.
    """

    mechanism: str
    file: str
    before: str
    after: str
    tests: list[str]


def copy_tree(folder: Path) -> None:
    """Copy what the tests need."""
    for part in PARTS:
        origin = ROOT / part
        if origin.is_dir():
            shutil.copytree(origin, folder / part)
        else:
            shutil.copy(origin, folder / part)


def outcome(mutant: Mutant) -> str:
    """Say whether the tests noticed one mutant."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        path = folder / mutant['file']
        text = path.read_text()
        if text.count(mutant['before']) != 1:
            return 'STALE'
        path.write_text(text.replace(mutant['before'], mutant['after']))
        try:
            code = run_tests(folder, mutant['tests'])
        except subprocess.TimeoutExpired:
            return 'hung'
    return 'caught' if code == TESTS_FAILED else 'MISSED'


def run_tests(folder: Path, tests: list[str]) -> int:
    """Run some tests in a copy, for a bounded time."""
    return subprocess.run(
        [sys.executable, '-m', 'pytest', '-x', *tests],
        cwd=folder,
        check=False,
        capture_output=True,
        timeout=LIMIT_S,
        env={**os.environ, 'HYPOTHESIS_PROFILE': 'mutants'},
    ).returncode


def main() -> int:
    """Try all mutants, or those whose mechanism holds a given word."""
    word = sys.argv[1] if len(sys.argv) > 1 else ''
    listed = json.loads((ROOT / 'tests' / 'mutants.json').read_text())
    chosen = [each for each in listed if word in each['mechanism']]
    missed = 0
    for each in chosen:
        mutant = cast(Mutant, each)
        seen = outcome(mutant)
        missed += seen not in NOTICED
        sys.stdout.write(f'{seen:7} {mutant["mechanism"]}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{len(chosen) - missed} passed, {missed} failed\n')
    return min(missed, 1)


if __name__ == '__main__':
    sys.exit(main())
