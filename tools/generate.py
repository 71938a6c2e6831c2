"""Generate the types and validators in ``marjoramlead/generated``.

Run ``python tools/generate.py`` after a change to a schema. With ``--check``,
the committed files are compared with the schemas but not changed; the exit
code is 1 if a file is out of date.
"""

import json
import subprocess  # runs the code generator, at build time only
import sys
import tempfile
from pathlib import Path

import fastjsonschema

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_FOLDER = ROOT / 'marjoramlead' / 'schema'
OUTPUT_FOLDER = ROOT / 'marjoramlead' / 'generated'
VALIDATED = ('contract', 'hosts', 'operations', 'settings')
TYPED = (*VALIDATED, 'frame', 'hop', 'sidecar', 'sidecar_status')


def write_types(schema: Path, path: Path) -> None:
    """Generate the ``TypedDict`` classes of one schema."""
    subprocess.run(  # the arguments are fixed
        [
            str(Path(sys.executable).with_name('datamodel-codegen')),
            *('--input', str(schema), '--output', str(path)),
            *('--input-file-type', 'jsonschema', '--disable-timestamp'),
            *('--output-model-type', 'typing.TypedDict'),
            *('--target-python-version', '3.11', '--enum-field-as-literal'),
            *('all', '--use-schema-description', '--use-title-as-name'),
            *('--disable-future-imports', '--formatters', 'builtin'),
            '--no-use-closed-typed-dict',
        ],
        check=True,
        stderr=subprocess.DEVNULL,
    )


def write_validator(schema: Path, path: Path) -> None:
    """Generate the validation function of one schema."""
    definition = json.loads(schema.read_text())
    path.write_text(fastjsonschema.compile_to_code(definition))


def generate(folder: Path) -> None:
    """Generate all files into a folder."""
    folder.mkdir(exist_ok=True)
    (folder / '__init__.py').write_text(
        '"""Types and validators, generated from the schemas."""\n',
    )
    for name in TYPED:
        schema = SCHEMA_FOLDER / f'{name}.schema.json'
        write_types(schema, folder / f'{name}_types.py')
    for name in VALIDATED:
        schema = SCHEMA_FOLDER / f'{name}.schema.json'
        write_validator(schema, folder / f'{name}_validator.py')


def outdated_files(folder: Path) -> list[str]:
    """Return the names of committed files that differ from the schemas.

    Generates all files into ``folder`` for the comparison.
    """
    generate(folder)
    return [
        fresh.name
        for fresh in sorted(folder.glob('*.py'))
        if not (OUTPUT_FOLDER / fresh.name).exists()
        or fresh.read_text() != (OUTPUT_FOLDER / fresh.name).read_text()
    ]


def main() -> int:
    """Generate the files, or check them if ``--check`` is given."""
    if '--check' not in sys.argv:
        generate(OUTPUT_FOLDER)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        outdated = outdated_files(Path(folder))
    for name in outdated:
        sys.stderr.write(f'generated/{name} is out of date\n')
    return 1 if outdated else 0


if __name__ == '__main__':
    sys.exit(main())
