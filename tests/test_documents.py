"""Examples in the documentation run; its links, commands and tables are complete."""

import asyncio
import re
import runpy
from dataclasses import fields
from pathlib import Path
from typing import get_args, get_type_hints

import pytest

from fireflyquay.daemons._record_files import load_backend, load_contract
from fireflyquay.gateway import GatewaySettings
from fireflyquay.gateway._gateway_metrics import GatewayMetrics
from fireflyquay.interface import EntrySettings, KindSettings, load_settings
from fireflyquay.interface.tests.cluster import TOKEN, run_cluster
from fireflyquay.world import Code

ROOT = Path(__file__).parents[1]
EXAMPLES = ROOT / "docs" / "examples"
PAGES = [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]


OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()
REFERENCE = (ROOT / "docs" / "REFERENCE.md").read_text()


def test_operations_page_lists_every_error_code():
    missing = [code for code in Code if f"| `{code.value}` |" not in OPERATIONS]
    assert not missing


def test_reference_page_lists_every_setting():
    hints = get_type_hints(EntrySettings)
    names = [f"kinds[].{field.name}" for field in fields(KindSettings)]
    for section in hints.keys() - {"kinds"}:
        names += [f"{section}.{field.name}" for field in fields(hints[section])]
    assert not [name for name in names if f"| `{name}` |" not in REFERENCE]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_relative_links_resolve(page):
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    assert not [link for link in links if not (page.parent / link).exists()]


def test_make_targets_in_readme_exist():
    used = set(re.findall(r"`make (\w+)`", (ROOT / "README.md").read_text()))
    targets = set(re.findall(r"^(\w+):", (ROOT / "Makefile").read_text(), re.M))
    assert {"demo", "test", "lint", "measure", "soak"} <= used <= targets


def test_example_files_are_valid():
    load_settings(EXAMPLES / "node.toml")
    load_contract(EXAMPLES / "contract.toml")
    load_backend(EXAMPLES / "engine.toml")
    load_backend(EXAMPLES / "service.toml")


def test_guide_code_occurs_in_the_examples():
    code = "".join(path.read_text() for path in EXAMPLES.glob("*.py"))
    lines = {line.strip() for line in code.splitlines()}
    blocks = re.findall(
        r"```python\n(.*?)```", (ROOT / "docs" / "GUIDE.md").read_text(), re.S
    )
    shown = [line.strip() for block in blocks for line in block.splitlines()]
    assert shown
    assert not [line for line in shown if line not in lines | {"..."}]


def test_emulated_fleet_example_violates_no_guarantee():
    summary = runpy.run_path(str(EXAMPLES / "emulate_fleet.py"))["main"]()
    assert "0 guarantees violated" in summary


def test_client_example_receives_responses():
    send = runpy.run_path(str(EXAMPLES / "send_requests.py"))["main"]

    async def run():
        async with run_cluster(entries=2) as cluster:
            host = cluster.entries[0].fleet.get_own_vm().host
            return await send([(host, cluster.ports[0])], TOKEN)

    texts = asyncio.run(asyncio.wait_for(run(), 60.0))
    assert len(texts) > 1


def test_reference_page_lists_every_gateway_setting():
    hints = get_type_hints(GatewaySettings)
    names = [
        f"{section}.{field.name}"
        for section, kind in hints.items()
        # Of a section that may be absent, the hint is a union of its type and None.
        for field in fields((get_args(kind) or (kind,))[0])
    ]
    assert not [name for name in names if f"`{name}`" not in REFERENCE]


def test_operations_page_describes_every_gateway_metric():
    metrics = GatewayMetrics()
    names = {
        family.name for family in metrics.registry.collect() if family.type != "gauge"
    }
    assert names
    assert not [name for name in names if f"`{name}`" not in OPERATIONS]
