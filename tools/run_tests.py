"""Run the tests; those listed in KNOWN-RED.txt may fail and are printed.

Any other failure fails the run. A listed test that passes is printed too.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple
from xml.etree import ElementTree as ET

ROOT = Path(__file__).resolve().parent.parent


class Outcomes(NamedTuple):
    """Names of the tests that failed and of those that passed."""

    failed: set[str]
    passed: set[str]


def known_red(path: Path) -> dict[str, str]:
    """Read the listed tests with their lines."""
    lines = path.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split('|')[0].strip(): entry for entry in entries}


def read_outcomes(path: Path) -> Outcomes:
    """Read what pytest wrote of each test."""
    outcomes = Outcomes(set(), set())
    for case in ET.parse(path).iter('testcase'):
        name = f'{case.get("classname")}::{case.get("name")}'
        has_failed = any(each.tag in {'failure', 'error'} for each in case)
        if any(each.tag == 'skipped' for each in case):
            continue
        (outcomes.failed if has_failed else outcomes.passed).add(name)
    return outcomes


def verdict(outcomes: Outcomes, listed: dict[str, str]) -> int:
    """Print the listed tests, and fail for any other failure."""
    for name in sorted(listed):
        state = 'fails, as listed' if name in outcomes.failed else 'passes now'
        sys.stdout.write(f'KNOWN-RED {name}: {state}\n')
    surprises = sorted(outcomes.failed - set(listed))
    for name in surprises:
        sys.stdout.write(f'FAILED {name}\n')
    failed = len(surprises)
    sys.stdout.write(f'{len(outcomes.passed)} passed, {failed} failed\n')
    return 1 if failed or not outcomes.passed else 0


def main() -> int:
    """Run pytest and judge its outcomes."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.xml'
        argv = ['-m', 'pytest', f'--junitxml={report}', *sys.argv[1:]]
        ended = subprocess.run([sys.executable, *argv], cwd=ROOT, check=False)
        if not report.exists():
            return ended.returncode or 1
        outcomes = read_outcomes(report)
    return verdict(outcomes, known_red(ROOT / 'KNOWN-RED.txt'))


if __name__ == '__main__':
    sys.exit(main())
