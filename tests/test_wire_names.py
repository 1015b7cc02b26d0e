"""Wire names of the platform occur only in its folder, which stays small."""

from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("fireflyquay", "standins", "emulator", "measure", "proofs", "demo", "soak")
# These start the program of the platform against its stand-ins.
PLATFORM_RUNNERS = ("demo", "soak")
WIRE_NAMES = """
    x-response-seal x-not-executed x-expect-instance x-expect-version x-token-usage
    x-prompt-prefix x-worker-load x-instance-id x-tenant x-deadline-ms x-length-hint
    x-kv-backup kv-from kv-fetch api-key last-event-id
    pathprefix trafficsplit targetlatencyms targetgapms streamresume maxattempts
    apikeys rateperS plaintokens kvcapacity kvtokenbytes currentrev allowstale
    exposureshare exposureslack rollbackms
    warmupleftms heartbeatms revokems drainms portrange fireflyquay_node_file
""".lower().split()


def list_sources():
    for folder in FOLDERS:
        yield from sorted((ROOT / folder).rglob("*.py"))


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_wire_name_occurs_only_in_the_platform_folder(name):
    found = [path for path in list_sources() if name in path.read_text().lower()]
    assert not found


def test_only_runners_refer_to_the_platform_folder():
    found = [
        path
        for path in list_sources()
        if "fleetwire" in path.read_text()
        and path.relative_to(ROOT).parts[0] not in PLATFORM_RUNNERS
    ]
    assert not found


def test_platform_folder_stays_below_its_line_limit():
    files = (ROOT / "platform").rglob("*.py")
    sources = [path for path in files if "tests" not in path.parts]
    lines = [line for path in sources for line in path.read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) < 1200
    assert not (ROOT / "platform" / "__init__.py").exists()
