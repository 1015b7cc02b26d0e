"""A small fleet in virtual time: real nodes, fakes at their interfaces."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    BackendState,
    ChangeId,
    Contract,
    CustomerId,
    EntryVm,
    Incarnation,
    Limits,
    PoolId,
    RegionId,
    RequestKey,
    Tier,
    VmListing,
    WorkKind,
    ZoneId,
)

from ._backends import CRASH_MARKER, Backend, Engine, Service
from ._callers import CallerRequest, Callers, find_home
from ._clock import Clock
from ._evidence import Evidence
from ._network import Network
from ._operators import Operators
from ._oracle import Oracle
from ._process import EntryProcess
from ._store import Store

REGION = RegionId("ee-north")
ZONES = (ZoneId("tallinn-a"), ZoneId("tallinn-b"), ZoneId("tallinn-c"))
SETTLE_S = 8.0
DETECTION_S = 3.0

KINDS = {
    kind.name: kind
    for kind in (
        WorkKind("work-order", PoolId("drafting"), deadline=30.0),
        WorkKind("report", PoolId("drafting"), deadline=30.0),
        WorkKind("question", PoolId("drafting"), idempotent=True, deadline=20.0),
        WorkKind("label", PoolId("drafting"), idempotent=True, deadline=15.0),
        WorkKind("timber-booking", PoolId("office"), deadline=20.0),
        WorkKind("invoice", PoolId("office"), deadline=20.0),
        WorkKind("status-lookup", PoolId("office"), idempotent=True, deadline=10.0),
    )
}
TIERS = {
    "work-order": Tier.URGENT,
    "report": Tier.STANDARD,
    "question": Tier.STANDARD,
    "label": Tier.BATCH,
    "timber-booking": Tier.URGENT,
    "invoice": Tier.STANDARD,
    "status-lookup": Tier.BATCH,
}
CUSTOMERS = ("treipuu", "brolga")
LIMITS = Limits(requests_per_second=500.0, tokens_per_second=1e6, in_flight=500)


@dataclass(frozen=True, slots=True)
class BackendPlan:
    """Describe a backend server to add."""

    name: str
    pool: str
    kind: BackendKind
    slots: int = 4


PLANS = (
    BackendPlan("engine-1", "drafting", BackendKind.MODEL_ENGINE),
    BackendPlan("engine-2", "drafting", BackendKind.MODEL_ENGINE),
    BackendPlan("office-1", "office", BackendKind.PLAIN_SERVICE),
    BackendPlan("office-2", "office", BackendKind.PLAIN_SERVICE),
)


class Fleet:
    """Run nodes, callers, operators and backend servers on one clock.

    Nodes are named n1, n2 and so on; the zones take turns.
    """

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        backends: tuple[BackendPlan, ...] = PLANS,
        limits: Limits = LIMITS,
    ) -> None:
        self.clock = Clock()
        self.evidence = Evidence()
        self.nodes: dict[str, EntryProcess] = {}
        self.backends: dict[str, Backend] = {}
        self._rng = random.Random(seed)
        self._processes: dict[Incarnation, EntryProcess] = {}
        self.network = Network(self.clock, self._rng, self._deliver)
        self.store = Store(self.clock, self._rng)
        self.operators = Operators(self.clock, self.store, self.evidence)
        self.callers = Callers(self.clock, self._rng, self, self.evidence)
        self.oracle = Oracle(self.evidence)
        self._nonce = 0
        for customer in CUSTOMERS:
            contract = Contract(
                CustomerId(customer), f"token-{customer}", TIERS, limits
            )
            self.operators.change_contract(customer, lambda _, c=contract: c, "anna")
        for plan in backends:
            self.add_backend(plan.name, plan.pool, kind=plan.kind, slots=plan.slots)
        self.run(1.0)
        for index in range(nodes):
            self.add_node(ZONES[index % len(ZONES)])
        self.run(SETTLE_S)

    # Entry VMs.

    def add_node(self, zone: str) -> str:
        """Start an entry VM and return its name."""
        name = f"n{len(self.nodes) + 1}"
        number = len(self.nodes) + 1
        incarnation = Incarnation(f"{name}x{self._rng.getrandbits(32):08x}")
        vm = EntryVm(incarnation, ZoneId(zone), REGION, f"10.0.0.{number}", 8000, 7000)
        process = EntryProcess(
            vm,
            self.clock,
            random.Random(incarnation),
            self.network,
            self.store,
            self.backends,
            self._processes.get,
            self.find_address,
            self.evidence,
        )
        self.nodes[name] = self._processes[incarnation] = process
        self._update_vm_list()
        return name

    def kill(self, node: str) -> None:
        """End an entry VM at once; peers notice within DETECTION_S."""
        until = self.clock.now + DETECTION_S
        self.evidence.begin(self.clock.now, f"kill {node}").until = until
        self.nodes[node].kill()
        self._update_vm_list()

    def freeze(self, node: str) -> None:
        """Pause an entry VM; what arrives waits."""
        self.evidence.begin(self.clock.now, f"freeze {node}")
        self.nodes[node].freeze()

    def thaw(self, node: str) -> None:
        """Let a paused entry VM go on."""
        self.nodes[node].thaw()
        self.evidence.end(self.clock.now, f"freeze {node}")

    def stop(self, node: str) -> None:
        """Begin a planned stop; the entry VM exits when it is drained."""
        self.nodes[node].stop()

    def list_live(self) -> list[str]:
        """Return the names of the entry VMs that have not ended."""
        return [name for name, process in self.nodes.items() if process.is_up]

    # Networks and the store.

    def cut(self, a: str, b: str, one_way: bool = False) -> None:
        """Cut two zones or entry VMs off from each other, or only a from b."""
        self.evidence.begin(self.clock.now, f"cut {a} {b}")
        first, second = self._name_side(a), self._name_side(b)
        self.network.cut(first, second)
        if not one_way:
            self.network.cut(second, first)

    def heal(self, a: str, b: str) -> None:
        """Undo a cut in both directions."""
        first, second = self._name_side(a), self._name_side(b)
        self.network.heal(first, second)
        self.network.heal(second, first)
        self.evidence.end(self.clock.now, f"cut {a} {b}")
        self.evidence.end(self.clock.now, f"cut {b} {a}")

    def set_loss(self, loss: float, duplication: float = 0.0) -> None:
        """Lose and duplicate a share of the messages between entry VMs."""
        self.evidence.end(self.clock.now, "loss")
        if loss or duplication:
            self.evidence.begin(self.clock.now, "loss")
        self.network.loss = loss
        self.network.duplication = duplication

    def set_jitter(self, seconds: float) -> None:
        """Delay each message by a random time up to this."""
        self.evidence.end(self.clock.now, "jitter")
        if seconds > 0.01:
            self.evidence.begin(self.clock.now, "jitter")
        self.network.jitter = seconds

    def cut_store(self, node: str) -> None:
        """Cut an entry VM off from the store."""
        self.evidence.begin(self.clock.now, f"cut store {node}")
        self.nodes[node].is_store_cut = True

    def heal_store(self, node: str) -> None:
        """Let an entry VM reach the store again."""
        self.nodes[node].is_store_cut = False
        self.evidence.end(self.clock.now, f"cut store {node}")

    def store_outage(self, is_down: bool) -> None:
        """Begin or end an outage of the store."""
        if is_down:
            self.evidence.begin(self.clock.now, "outage")
            self.store.begin_outage()
            return
        self.store.is_down = False
        self.evidence.end(self.clock.now, "outage")

    def store_slow(self, seconds: float) -> None:
        """Make calls to the store take about this much longer."""
        self.evidence.end(self.clock.now, "slow store")
        if seconds:
            self.evidence.begin(self.clock.now, "slow store")
        self.store.slowness = seconds

    def lose_next_answer(self, what: str) -> None:
        """Lose the next answer to a write below a prefix, as contracts/ or claims/."""
        self.store.lose_next_answer(what)

    # Callers.

    def send(
        self,
        customer: str,
        kind: str,
        node: str | None = None,
        *,
        key: str | None = None,
        body: bytes | None = None,
        crashes: bool = False,
        is_plain: bool = False,
        keeps_key: bool = False,
        is_automatic: bool = True,
        tells_count: bool = True,
        copy_to: str | None = None,
        patience: float = 4.0,
        deadline: float | None = None,
    ) -> CallerRequest:
        """Send a request, and a copy to another entry VM at once if one is named."""
        process = self.nodes[node] if node else self.choose_entry(None)
        if process is None:
            raise ValueError("No entry VM runs.")
        self._nonce += 1
        text = body or f"{customer}/{kind}/{self._nonce}".encode()
        plain = RequestKey(f"{customer}/{key or f'own-{self._nonce}'}")
        work_kind = KINDS[kind]
        if deadline is not None:
            work_kind = replace(work_kind, deadline=deadline)
        request = CallerRequest(
            number=self._nonce,
            customer=CustomerId(customer),
            kind=work_kind,
            tier=TIERS[kind],
            body=CRASH_MARKER + text if crashes else text,
            key=plain if is_plain or key else self._draw_key(process),
            draw_key=self._draw_key,
            keeps_key=keeps_key or is_plain or key is not None,
            is_automatic=is_automatic,
            tells_count=tells_count and copy_to is None,
            patience=patience,
        )
        self.callers.start(request, process)
        if copy_to is not None:
            self.callers.send_copy(request, self.nodes[copy_to])
        return request

    def resend(self, request: CallerRequest, node: str) -> None:
        """Send one more copy of a request's present attempt to an entry VM.

        A caller that tells the send count reads one copy at a time.
        """
        if request.told is None:
            if request.tells_count:
                self.callers.leave(request)
            request.losses += 1
            self.callers.send_copy(request, self.nodes[node])

    def leave(self, request: CallerRequest) -> None:
        """Let a caller close its connections and stay away."""
        request.is_automatic = False
        self.callers.leave(request)

    def burst(
        self, customer: str, kind: str, count: int, seconds: float = 0.0, **options
    ) -> list[CallerRequest]:
        """Send requests evenly over a time that passes meanwhile."""
        requests = []
        for _ in range(count):
            requests.append(self.send(customer, kind, **options))
            self.run(seconds / count)
        return requests

    # Operators.

    def apply_contract(
        self, customer: str, who: str = "anna", **changes: object
    ) -> ChangeId:
        """Change fields of a customer's contract."""

        def build(old: Contract | None) -> Contract:
            return replace(old, **changes)

        return self.operators.change_contract(customer, build, who)

    def mark_backend(self, name: str, state: str) -> ChangeId:
        """Mark a backend server as JOINING, SERVING, LEAVING or STOPPING."""
        return self.operators.mark(name, BackendState(state))

    def add_backend(
        self,
        name: str,
        pool: str,
        kind: str = BackendKind.MODEL_ENGINE,
        slots: int = 4,
    ) -> None:
        """Start a backend server and register it."""
        server = BackendServer(
            server=BackendServerId(name),
            pool=PoolId(pool),
            kind=BackendKind(kind),
            zone=ZONES[len(self.backends) % len(ZONES)],
            host="10.1.0.1",
            port=9000 + len(self.backends),
            slots=slots,
            token_slots=slots * 1000,
        )
        is_engine = server.kind is BackendKind.MODEL_ENGINE
        make = Engine if is_engine else Service
        self.backends[name] = make(server, self.clock, self.evidence)
        self.operators.register(server)

    # Backend servers.

    def crash_backend(self, name: str) -> None:
        """Kill a backend server; its streams are lost."""
        self.backends[name].crash()

    def restart_backend(self, name: str) -> None:
        """Let a crashed backend server take work again."""
        self.backends[name].restart()

    def freeze_backend(self, name: str) -> None:
        """Pause a backend server without closing connections."""
        self.backends[name].freeze()

    def thaw_backend(self, name: str) -> None:
        """Let a paused backend server go on."""
        self.backends[name].thaw()

    def straggle_backend(self, name: str, factor: float) -> None:
        """Make a backend server slower by a factor."""
        self.evidence.backend_faults.append(self.clock.now)
        self.backends[name].slowdown = factor

    # Time, and what the fakes ask for.

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run(seconds)
        self.evidence.now = self.clock.now

    def run_until(self, check: Callable[[], bool], limit: float = 60.0) -> bool:
        """Let time pass in small steps until a check holds; tell whether it did."""
        end = self.clock.now + limit
        while not check():
            if self.clock.now >= end:
                return False
            self.run(0.005)
        return True

    def choose_entry(self, avoid: EntryProcess | None) -> EntryProcess | None:
        """Return an entry VM that callers may use, other than one if possible."""
        up = [process for process in self.nodes.values() if process.is_up]
        live = [process for process in up if process.node.is_ready] or up
        others = [process for process in live if process is not avoid]
        candidates = others or live
        return self._rng.choice(candidates) if candidates else None

    def find_address(self, host: str, port: int) -> EntryProcess | None:
        """Return the entry VM at an address."""
        for process in self.nodes.values():
            if process.vm.host == host:
                return process
        return None

    def find_process(self, incarnation: Incarnation | None) -> EntryProcess | None:
        """Return the entry VM of an incarnation."""
        return self._processes.get(incarnation)

    def find_home(self, key: RequestKey) -> str | None:
        """Return the name of a key's home."""
        return self._find_name(find_home(key))

    def find_witness(self, node: str) -> str | None:
        """Return the name of the witness that an entry VM's new keys name."""
        return self._find_name(self.nodes[node].node._fleet.witness)

    def find_broker(self, pool: str, seen_by: str) -> str | None:
        """Return the name of a pool's broker as an entry VM sees it."""
        fleet = self.nodes[seen_by].node._fleet
        return self._find_name(fleet.choose_broker(PoolId(pool)))

    def _find_name(self, incarnation: Incarnation | None) -> str | None:
        for name, process in self.nodes.items():
            if process.vm.incarnation == incarnation:
                return name
        return None

    def _draw_key(self, process: EntryProcess) -> RequestKey:
        return process.node.make_key(self.clock.now)

    def _deliver(
        self, sender: Incarnation, target: Incarnation, message: Message
    ) -> None:
        process = self._processes.get(target)
        if process is not None:
            process.receive(sender, message)

    def _name_side(self, name: str) -> str:
        process = self.nodes.get(name)
        return process.vm.incarnation if process else name

    def _update_vm_list(self) -> None:
        self.store.set_vms(
            tuple(
                VmListing(p.vm.host, p.vm.peer_port, p.vm.zone, p.vm.region)
                for p in self.nodes.values()
                if p.is_up
            )
        )
