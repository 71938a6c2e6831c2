"""Write the types and validators of ``marjoramlead/generated``.

Run ``python tools/generate.py`` after a change to a schema, or with
``--check`` to learn whether the committed files are current.
"""

import json
import subprocess  # starts the generator, at build time only
import sys
import tempfile
from pathlib import Path

import fastjsonschema

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / 'marjoramlead' / 'schema'
TARGET = ROOT / 'marjoramlead' / 'generated'
CHECKED = ('contract', 'hosts', 'operations', 'settings')
TYPED = (*CHECKED, 'frame', 'hop', 'sidecar', 'sidecar_status')


def write_types(schema: Path, path: Path) -> None:
    """Write the ``TypedDict`` classes of one schema."""
    subprocess.run(  # fixed arguments
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
    """Write the validating function of one schema."""
    definition = json.loads(schema.read_text())
    path.write_text(fastjsonschema.compile_to_code(definition))


def generate(folder: Path) -> None:
    """Write all generated files into one folder."""
    folder.mkdir(exist_ok=True)
    (folder / '__init__.py').write_text(
        '"""Types and validators, generated from the schemas."""\n',
    )
    for name in TYPED:
        schema = SCHEMAS / f'{name}.schema.json'
        write_types(schema, folder / f'{name}_types.py')
    for name in CHECKED:
        schema = SCHEMAS / f'{name}.schema.json'
        write_validator(schema, folder / f'{name}_validator.py')


def stale_files(folder: Path) -> list[str]:
    """List the committed files that differ from fresh ones."""
    generate(folder)
    return [
        fresh.name
        for fresh in sorted(folder.glob('*.py'))
        if not (TARGET / fresh.name).exists()
        or fresh.read_text() != (TARGET / fresh.name).read_text()
    ]


def main() -> int:
    """Generate, or check when asked to."""
    if '--check' not in sys.argv:
        generate(TARGET)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        stale = stale_files(Path(folder))
    for name in stale:
        sys.stderr.write(f'generated/{name} is stale\n')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
