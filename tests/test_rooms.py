"""Imports between the packages go one way only."""

import ast
import pathlib

import pearrun

ROOT = pathlib.Path(pearrun.__file__).parent

# A package may import those after it, and flat modules.
ORDER = (
    'bench',
    'standins',
    'api',
    'platform',
    'relay',
    'shared',
    'http1',
    'decisions',
)


def imported_rooms(path):
    """Return the packages that a module imports from."""
    rooms = set()
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
                rooms.add(parts[1])
    return rooms & set(ORDER)


def test_packages_import_only_what_is_below_them():
    for position, room in enumerate(ORDER):
        above = set(ORDER[:position])
        for path in (ROOT / room).glob('*.py'):
            assert not imported_rooms(path) & above, path


def test_only_the_adapter_and_stand_ins_know_the_wire():
    words = ('pearrun-attempt-id', 'keyed.', 'log-append', 'PEARRUN_BOOT')
    for path in ROOT.rglob('*.py'):
        room = path.relative_to(ROOT).parts[0]
        if room in ('platform', 'standins'):
            continue
        text = path.read_text().lower()
        for word in words:
            assert word.lower() not in text, path
