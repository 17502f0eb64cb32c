"""The layering of the packages: imports only from lower layers."""

import ast
import pathlib

import pearrun

ROOT = pathlib.Path(pearrun.__file__).parent

# Layers from the top down: a package may import those listed after it, and the
# top-level modules of pearrun.
ORDER = (
    'bench',
    'standins',
    'api',
    'platform',
    'relay',
    'duties',
    'shared',
    'rollouts',
    'usage',
    'http1',
    'decisions',
)


def find_imported_packages(path):
    """Return the packages that a module imports from."""
    packages = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module=str(name)):
                names = [name, *(f'{name}.{a.name}' for a in node.names)]
            case ast.Import():
                names = [alias.name for alias in node.names]
            case _:
                continue
        for name in names:
            parts = name.split('.')
            if parts[0] == 'pearrun' and len(parts) > 1:
                packages.add(parts[1])
    return packages & set(ORDER)


def test_packages_import_only_from_lower_layers():
    for position, package in enumerate(ORDER):
        higher = set(ORDER[:position])
        for path in (ROOT / package).glob('*.py'):
            assert not find_imported_packages(path) & higher, path


def test_only_platform_adapter_and_stand_ins_use_the_wire_format():
    words = ('pearrun-attempt-id', 'keyed.', 'log-append', 'PEARRUN_BOOT')
    for path in ROOT.rglob('*.py'):
        package = path.relative_to(ROOT).parts[0]
        if package in ('platform', 'standins'):
            continue
        text = path.read_text().lower()
        for word in words:
            assert word.lower() not in text, path
