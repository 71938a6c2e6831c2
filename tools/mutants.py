"""Disable one mechanism at a time, and check that the tests detect it.

Each entry of ``tests/mutants.json`` names a mechanism, the change that
disables it, and the tests that must then fail. The change is made in a copy of
the tree. Tests that exceed the time limit count as detecting it too.
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
TIMEOUT_S = 60
DETECTED = ('caught', 'hung')
COPIED_PATHS = (
    'marjoramlead',
    'standins',
    'bench',
    'tests',
    'examples',
    'pyproject.toml',
)


class Mutant(TypedDict):
    """An entry of ``tests/mutants.json``.

    Attributes
    ----------
    mechanism
        What the change disables.
    before
        Text to replace; occurs exactly once in the file.
    after
        Replacement.
    tests
        Arguments for pytest.
    """

    mechanism: str
    file: str
    before: str
    after: str
    tests: list[str]


def copy_tree(folder: Path) -> None:
    """Copy the files that the tests need."""
    for copied_path in COPIED_PATHS:
        source = ROOT / copied_path
        if source.is_dir():
            shutil.copytree(source, folder / copied_path)
        else:
            shutil.copy(source, folder / copied_path)


def run_mutant(mutant: Mutant) -> str:
    """Apply one mutant, run its tests, and return how they ended.

    ``STALE`` means that the text to replace does not occur exactly once.
    """
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
    """Run tests in a copy of the tree and return the exit code of pytest."""
    return subprocess.run(
        [sys.executable, '-m', 'pytest', '-x', *tests],
        cwd=folder,
        check=False,
        capture_output=True,
        timeout=TIMEOUT_S,
        env={**os.environ, 'HYPOTHESIS_PROFILE': 'mutants'},
    ).returncode


def main() -> int:
    """Test all mutants, or those whose mechanism contains a text."""
    filter_text = sys.argv[1] if len(sys.argv) > 1 else ''
    entries = json.loads((ROOT / 'tests' / 'mutants.json').read_text())
    selected = [each for each in entries if filter_text in each['mechanism']]
    undetected = 0
    for each in selected:
        mutant = cast(Mutant, each)
        result = run_mutant(mutant)
        undetected += result not in DETECTED
        sys.stdout.write(f'{result:7} {mutant["mechanism"]}\n')
        sys.stdout.flush()
    sys.stdout.write(
        f'{len(selected) - undetected} passed, {undetected} failed\n'
    )
    return min(undetected, 1)


if __name__ == '__main__':
    sys.exit(main())
