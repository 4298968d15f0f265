"""Tests that the platform's protocol is confined to its folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
WIRE_NAMES = re.compile(
    r'Config\.(Put|Get)|Kv-(From|Fetch|Backup)|kv-(move|handle|events)|'
    r'Response-Stamp|Bulrushhold-(Not-Run|Tenant|Credential|Deadline)|'
    r'weighted-backends|target-latency|hold-take|BULRUSHHOLD_NODE_FILE'
)


def test_wire_names_of_the_platform_stay_in_its_folder():
    matches = [
        f'{path.relative_to(ROOT)}:{number}'
        for folder in ('src', 'tests', 'bench', 'examples')
        for path in sorted((ROOT / folder).rglob('*.py'))
        if not path.is_relative_to(ROOT / 'tests' / 'platform')
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert matches == []


def test_platform_folder_does_not_shadow_the_standard_library():
    assert not (ROOT / 'platform' / '__init__.py').exists()
