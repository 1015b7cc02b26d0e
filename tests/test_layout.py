"""Layers of the product: packages import only from the same or lower layers."""

import ast
from pathlib import Path

import pytest

PRODUCT_FOLDER = Path(__file__).parent.parent / "fireflyquay"
LAYER_BY_PACKAGE = {
    "signals": 0,
    "unexpected_errors": 0,
    "world": 0,
    "checks": 1,
    "contracts": 1,
    "membership": 1,
    "dispatch": 2,
    "links": 3,
    "client": 3,
    "gateway": 4,
    "interface": 5,
    "daemons": 6,
}
NON_PRODUCT_MODULES = {
    "standins",
    "emulator",
    "measure",
    "proofs",
    "demo",
    "soak",
    "tests",
    "subprocess",
}


def find_imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.level == 0:
            names.add(node.module)
    return names


def list_product_files() -> list[Path]:
    return [p for p in PRODUCT_FOLDER.rglob("*.py") if "tests" not in p.parts]


@pytest.mark.parametrize("path", list_product_files(), ids=lambda p: p.name)
def test_imports_follow_the_layers(path):
    package = path.relative_to(PRODUCT_FOLDER).parts[0]
    layer = LAYER_BY_PACKAGE.get(package, 9)
    for name in find_imports(path):
        parts = name.split(".")
        assert parts[0] not in NON_PRODUCT_MODULES
        if parts[0] == "fireflyquay" and len(parts) > 1:
            assert LAYER_BY_PACKAGE[parts[1]] <= layer, f"{path} imports {name}"
