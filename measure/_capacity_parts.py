"""Processor time and memory of each role's decisions, on one node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fireflyquay.contracts import (
    StoredValue,
    encode_backend_change,
)
from fireflyquay.decisions import (
    AllowanceHolder,
    AllowanceSettings,
    BackendBook,
    ContractBook,
    Trail,
    encode_batch,
    is_worth_keeping,
)
from fireflyquay.decisions._arbiter_message import Claim
from fireflyquay.decisions._cell import CellBroker
from fireflyquay.decisions._cell_message import Held, Outcome, Release, Want
from fireflyquay.decisions._cell_settings import CellSettings
from fireflyquay.decisions._permit_client import PermitClient, RunCost
from fireflyquay.decisions._trail import TrailSettings
from fireflyquay.decisions._witness import Witness
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    ChangeId,
    CustomerId,
    ExchangeId,
    Fingerprint,
    Incarnation,
    Limits,
    PoolId,
    Request,
    RequestKey,
    Tier,
    WorkKind,
    ZoneId,
)

from ._member_fleet import build_contract_value
from ._node_rig import NodeRig
from ._timing import Cost, time_calls, weigh
from .limits import make_records

Row = dict[str, object]
POOL = PoolId("drafting")
HOLDER = Incarnation("e00000000001")
OTHER = Incarnation("e00000000009")
CONTRACTS = 940
BACKENDS = 600
TICKS_PER_S = 20
TICK_POINTS = (
    (3, 2, 0),
    (9, 2, 0),
    (30, 2, 0),
    (100, 2, 0),
    (390, 2, 0),
    (390, 6, 0),
    (390, 12, 0),
    (9, 2, 100),
    (9, 2, 200),
    (9, 2, 400),
    (390, 6, 200),
)
CELL_POINTS = (
    (5, 0),
    (5, 100),
    (5, 500),
    (5, 2000),
    (20, 0),
    (20, 100),
    (20, 500),
    (60, 0),
    (100, 0),
    (100, 100),
)
WAITING_POINTS = (0, 10, 100, 1000)


def _row(what: str, cost: Cost, **columns: object) -> Row:
    return {
        "what": what,
        **columns,
        "us": cost.median,
        "us_low": cost.low,
        "us_high": cost.high,
    }


def measure_ticks() -> list[Row]:
    """Time one tick of a whole node."""
    rows = []
    for members, pools, running in TICK_POINTS:
        rig = NodeRig(members, pools, running)
        cost = time_calls(40, lambda rig=rig: rig.tick)
        rows.append(
            _row("tick", cost, members=members, pools=pools, in_progress=running)
        )
    return rows


def measure_request_path() -> list[Row]:
    """Time a request's decisions from its arrival to its dispatch on one node.

    Broker and arbiter are this node itself, so that all roles' parts are included.
    """
    count = 400

    def prepare() -> Callable[[int], object]:
        rig = NodeRig(1, 2, 0, slots=1000)
        # Past the slow start of the backend servers.
        rig.run(12.0)
        return lambda number: rig.bring(number)

    return [_row("request, until dispatched", time_calls(count, prepare))]


def measure_discovery() -> list[Row]:
    """Time the list of entry VMs that a caller asks for."""
    rows = []
    for members in (3, 9, 30, 100, 390):
        rig = NodeRig(members)
        cost = time_calls(
            20, lambda rig=rig: lambda _: rig.node.list_entries(rig.now, None)
        )
        rows.append(_row("entry list", cost, members=members))
    return rows


def build_backend(number: int, slots: int = 8) -> BackendServer:
    """Return a backend server of one pool."""
    return BackendServer(
        BackendServerId(f"model-worker-{number}"),
        POOL,
        BackendKind.MODEL_ENGINE,
        ZoneId("tallinn-a"),
        "10.1.0.1",
        8000,
        slots=slots,
        token_slots=1_000_000,
    )


def _build_want(number: int) -> Want:
    return Want(
        pool=POOL,
        key=_name_key(number),
        attempt=1,
        tier=Tier(number % 3),
        customer=CustomerId(f"customer{number % 40}"),
        share=1.0,
        prompt_tokens=1000,
        max_tokens=300,
        prefix_hash=f"p{number % 50}",
        budget=1e5,
    )


def _name_key(number: int) -> RequestKey:
    return RequestKey(f"fq1.e00000000001.e00000000002.100.{number:016x}")


class _Cell:
    """Drive a broker whose slots are full and whose queue has a length."""

    def __init__(self, servers: int, queue: int) -> None:
        settings = replace(CellSettings(), queue_limit=5000)
        self.broker = CellBroker(HOLDER, POOL, settings)
        slots = 8
        # Known servers have no slow start.
        backends = tuple(build_backend(n, slots) for n in range(servers))
        self.broker.update_servers(0.0, backends)
        self.now = 100.0
        self.running: list[tuple[RequestKey, BackendServerId]] = []
        self._number = 0
        # Nothing is granted until the last entry VM has told what it runs.
        self.broker.take_over(self.now, (OTHER,))
        for _ in range(servers * slots + queue):
            self.want()
        self._note(self.broker.receive(self.now, OTHER, Held(POOL, ())))

    def want(self, _: int = 0) -> None:
        """Bring one want."""
        self._number += 1
        self._note(self.broker.receive(self.now, HOLDER, _build_want(self._number)))

    def serve(self, _: int = 0) -> None:
        """End the oldest run, so that another want is granted."""
        self.now += 0.001
        key, server = self.running.pop(0)
        release = Release(POOL, key, 1, server, Outcome.FINISHED, 1000, 0.1, 300, 6.0)
        self._note(self.broker.receive(self.now, HOLDER, release))

    def pass_one(self, _: int = 0) -> None:
        """Bring a want and end a run, so that the queue keeps its length."""
        self.want()
        self.serve()

    def sweep(self, _: int = 0) -> None:
        """Let the time of one sweep pass."""
        self.now += 0.1
        self._note(self.broker.advance(self.now))

    def _note(self, actions) -> None:
        for action in actions:
            if type(action.message).__name__ == "Permit":
                permit = action.message
                self.running.append((permit.key, permit.server))


def measure_broker() -> list[Row]:
    """Time a cell's broker by its servers and its queue."""
    rows = []
    for servers, queue in CELL_POINTS:
        cell = _Cell(servers, queue)
        passing = time_calls(10, lambda cell=cell: cell.pass_one)
        sweeping = time_calls(3, lambda cell=cell: cell.sweep)
        columns = {"servers": servers, "queue": queue}
        rows.append(_row("want and release", passing, **columns))
        rows.append(_row("sweep", sweeping, **columns))
    return rows


def measure_witness() -> list[Row]:
    """Time a claim of a new key at the witness."""
    claims = [Claim(_name_key(n), 1, BackendServerId("w")) for n in range(20_000)]

    def prepare() -> Callable[[int], object]:
        witness = Witness(Incarnation("e00000000002"))
        return lambda n: witness.receive(100.0, HOLDER, claims[n])

    return [_row("claim at the witness", time_calls(20_000, prepare))]


def _build_request(number: int) -> Request:
    return Request(
        exchange=ExchangeId(number),
        key=_name_key(number),
        customer=CustomerId("customer0"),
        kind=WorkKind("order", POOL),
        tier=Tier.URGENT,
        prompt_tokens=1000,
        max_tokens=300,
        prefix_hash="p",
        fingerprint=Fingerprint("f"),
        deadline=1e6,
    )


def measure_permit_client() -> list[Row]:
    """Time wants, holds and releases, and the tick by the wants that wait."""
    requests = [_build_request(number) for number in range(2000)]

    def prepare() -> Callable[[int], object]:
        client = PermitClient(lambda pool: HOLDER)

        def pass_one(number: int) -> None:
            request = requests[number]
            client.want(1.0, request, 1.0, ())
            client.hold(request, BackendServerId("w"))
            client.unwant(request)
            client.release(request, BackendServerId("w"), Outcome.FINISHED, RunCost())

        return pass_one

    rows = [_row("want, hold and release", time_calls(2000, prepare))]
    for waiting in WAITING_POINTS:
        client = PermitClient(lambda pool: HOLDER)
        for request in requests[:waiting]:
            client.want(1.0, request, 1.0, ())
        cost = time_calls(200, lambda c=client: lambda _: c.advance(1.0))
        rows.append(_row("tick of the permit client", cost, waiting=waiting))
    return rows


def measure_limits() -> list[Row]:
    """Time admissions, and the holder's tick by contracts in demand."""
    rows = []
    limits = Limits(1e6, 1e9, 100_000)
    for contracts in (1, 10, 60, 240):
        holder = AllowanceHolder(HOLDER, AllowanceSettings())
        members = frozenset({HOLDER})
        names = [CustomerId(f"customer{n}") for n in range(contracts)]
        holder.advance(1.0, lambda customer: HOLDER, members)

        def admit(n: int, holder=holder, names=names) -> None:
            name = names[n % len(names)]
            holder.admit(2.0, name, limits, 100)
            holder.end(2.0, name, 100)

        rows.append(
            _row(
                "admission and end",
                time_calls(2000, lambda a=admit: a),
                contracts=contracts,
            )
        )

        def tick(n: int, holder=holder, members=members) -> None:
            holder.advance(2.0 + n * 0.05, lambda customer: HOLDER, members)

        cost = time_calls(40, lambda t=tick: t)
        rows.append(_row("tick of the holder", cost, contracts=contracts))
    return rows


def measure_trail() -> list[Row]:
    """Time and weigh records, and the encoding of a batch."""
    records = make_records(4000)
    kept = [record for record in records if is_worth_keeping(record)]

    def prepare() -> Callable[[int], object]:
        trail = Trail(HOLDER, TrailSettings())
        return lambda n: trail.add(records[n])

    batch = kept[:2000]
    encode = time_calls(3, lambda: lambda _: encode_batch(batch))
    per_record = Cost(
        *(round(v / 2000, 3) for v in (encode.median, encode.low, encode.high))
    )
    size = weigh(lambda: _fill_trail(20_000))
    return [
        _row("record", time_calls(20_000, prepare), bytes=round(size / 20_000)),
        _row(
            "record of a flushed batch",
            per_record,
            bytes=round(len(encode_batch(batch)) / len(batch), 1),
        ),
        {
            "what": "records of a request, all and kept",
            "bytes": f"{len(records) / 4000:.2f} and {len(kept) / 4000:.2f}",
        },
    ]


def _fill_trail(count: int) -> Trail:
    trail = Trail(HOLDER, TrailSettings(most_records=count))
    for record in make_records(4000)[:count]:
        trail.add(record)
    return trail


def measure_books() -> list[Row]:
    """Time and weigh the books at full size."""
    contracts = [build_contract_value(n, 1.0, None, n + 1) for n in range(CONTRACTS)]
    backends = [_store_backend(n) for n in range(BACKENDS)]

    def fill_contracts() -> ContractBook:
        book = ContractBook()
        for value in contracts:
            book.apply(value)
        return book

    def fill_backends() -> BackendBook:
        book = BackendBook()
        for value in backends:
            book.apply(value)
        return book

    rows = []
    for what, values, fill in (
        ("change of one contract", contracts, fill_contracts),
        ("change of one backend server", backends, fill_backends),
    ):
        book = fill()
        newer = [replace(v, version=2, revision=v.revision + 5000) for v in values]
        # Each repeat needs values that are newer than the book's.
        calls = iter(range(1, 100))

        def prepare(book=book, newer=newer, calls=calls) -> Callable[[int], object]:
            step = 5000 * next(calls)
            stored = [replace(v, revision=v.revision + step) for v in newer]
            return lambda n: book.apply(stored[n])

        cost = time_calls(len(values), prepare)
        rows.append(_row(what, cost, entries=len(values), bytes=weigh(fill)))
    return rows


def _store_backend(number: int) -> StoredValue:
    backend = build_backend(number)
    value = encode_backend_change(None, backend, ChangeId("0"), "ann", 0.0)
    return StoredValue(f"backends/{backend.server}", value, 1, number + 1)


def measure_parts() -> dict[str, list[Row]]:
    """Run all; every figure is processor time or memory of this machine."""
    return {
        "Tick of a whole node": measure_ticks(),
        "Request path in one node": measure_request_path(),
        "Discovery": measure_discovery(),
        "Broker of a cell": measure_broker(),
        "Witness": measure_witness(),
        "Permit client": measure_permit_client(),
        "Limits": measure_limits(),
        "Trail": measure_trail(),
        "Books": measure_books(),
    }
