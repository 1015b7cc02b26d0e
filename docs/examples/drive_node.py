"""Drive one node's decisions in virtual time: no socket, no clock, no loop."""

import random

from fireflyquay.contracts import (
    BACKEND_CODEC,
    CONTRACT_CODEC,
    StoredValue,
    StoreList,
    StoreListing,
)
from fireflyquay.decisions import (
    CallStore,
    Dispatch,
    Node,
    Record,
    Refuse,
    RunReport,
)
from fireflyquay.world import (
    BackendKind,
    BackendRecord,
    BackendServer,
    Contract,
    ContractRecord,
    EntryVm,
    Limits,
    Request,
    Tier,
    WorkKind,
)

TICK_S = 0.05
LABEL = WorkKind("label", "drafting", idempotent=True)


def make_store() -> dict[str, StoredValue]:
    """Return what the platform's store holds: one contract, one backend server."""
    contract = Contract(
        "treipuu", "treipuu-token", {"label": Tier.BATCH}, Limits(10.0, 1e5, 4)
    )
    backend = BackendServer(
        "engine-1",
        "drafting",
        BackendKind.MODEL_ENGINE,
        "tallinn-a",
        "10.0.1.1",
        9100,
        slots=2,
        token_slots=10_000,
    )
    values = {
        "contracts/treipuu": CONTRACT_CODEC.encode(ContractRecord(contract, 1)),
        "backends/engine-1": BACKEND_CODEC.encode(BackendRecord(backend, 1)),
    }
    return {path: StoredValue(path, value, 1, 1) for path, value in values.items()}


def make_request(node: Node, now: float, exchange: int) -> Request:
    """Return a request as the daemon makes it of what a caller sends."""
    return Request(
        exchange=exchange,
        key=node.make_key(now),
        customer="treipuu",
        kind=LABEL,
        tier=Tier.BATCH,
        prompt_tokens=20,
        max_tokens=10,
        prefix_hash="p",
        fingerprint=f"body-{exchange}",
        deadline=now + LABEL.deadline,
        send_count=1,
    )


def run(requests: int = 3, seconds: float = 8.0) -> list[str]:
    """Send requests after four seconds and return what was decided."""
    vm = EntryVm("node0", "tallinn-a", "ee-north", "10.0.0.1", 8080, 8081)
    node = Node(vm, random.Random(1), started_at=0.0, epoch_offset=0.0)
    node.start(0.0)
    store = make_store()
    decided = []
    for tick in range(1, round(seconds / TICK_S)):
        now = tick * TICK_S
        if now == 4.0:
            for exchange in range(1, requests + 1):
                node.receive_request(now, make_request(node, now, exchange))
        node.advance(now)
        for action in node.take_actions():
            match action:
                case CallStore(call=StoreList(prefix=prefix)):
                    found = [v for p, v in store.items() if p.startswith(prefix)]
                    answer = StoreListing(tuple(found), 1)
                    node.receive_store_answer(now, action.tag, answer)
                case Record():
                    record = action.record
                    decided.append(f"{now:.2f} {record.step} {record.target}".rstrip())
                case Dispatch():
                    # A real daemon streams the answer and reports its end.
                    exchange = action.request.exchange
                    node.note_finished(now, exchange, RunReport(20, 10))
                case Refuse():
                    decided.append(f"{now:.2f} {action.code} {action.verdict}")
    return decided


if __name__ == "__main__":
    print("\n".join(run()))
