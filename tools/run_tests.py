"""Run the tests, and allow failures only of tests in KNOWN-RED.txt.

The outcome of every listed test is printed. A failure of any other test fails
the run.
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


def read_known_failures(path: Path) -> dict[str, str]:
    """Read the entries of the list of known failures by test name."""
    lines = path.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split('|')[0].strip(): entry for entry in entries}


def read_outcomes(path: Path) -> Outcomes:
    """Read the outcomes from a JUnit XML report; skipped tests are omitted."""
    outcomes = Outcomes(set(), set())
    for case in ET.parse(path).iter('testcase'):
        name = f'{case.get("classname")}::{case.get("name")}'
        has_failed = any(each.tag in {'failure', 'error'} for each in case)
        if any(each.tag == 'skipped' for each in case):
            continue
        (outcomes.failed if has_failed else outcomes.passed).add(name)
    return outcomes


def report_outcomes(outcomes: Outcomes, known_failures: dict[str, str]) -> int:
    """Print the known failures and the totals, and return the exit code.

    The run fails if a test failed that is not listed, or if none passed.
    """
    for name in sorted(known_failures):
        state = _describe_known_failure(name, outcomes)
        sys.stdout.write(f'KNOWN-RED {name}: {state}\n')
    unexpected = sorted(outcomes.failed - set(known_failures))
    for name in unexpected:
        sys.stdout.write(f'FAILED {name}\n')
    failed = len(unexpected)
    sys.stdout.write(f'{len(outcomes.passed)} passed, {failed} failed\n')
    return 1 if failed or not outcomes.passed else 0


def _describe_known_failure(name: str, outcomes: Outcomes) -> str:
    if name in outcomes.failed:
        return 'fails, as listed'
    if name in outcomes.passed:
        return 'does not fail'
    return 'not part of this run'


def main() -> int:
    """Run pytest with the given arguments and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.xml'
        argv = ['-m', 'pytest', f'--junitxml={report}', *sys.argv[1:]]
        completed = subprocess.run(
            [sys.executable, *argv], cwd=ROOT, check=False
        )
        if not report.exists():
            return completed.returncode or 1
        outcomes = read_outcomes(report)
    return report_outcomes(
        outcomes, read_known_failures(ROOT / 'KNOWN-RED.txt')
    )


if __name__ == '__main__':
    sys.exit(main())
