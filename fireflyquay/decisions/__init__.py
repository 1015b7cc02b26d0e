"""Decisions as synchronous objects: typed events in, typed actions out."""

from ._action import (
    CallStore,
    Cancel,
    Dispatch,
    Join,
    Record,
    Redirect,
    Refuse,
    Resume,
)
from ._admission import (
    Admission,
    AdmissionState,
)
from ._allowance_holder import (
    AllowanceHolder,
)
from ._allowance_message import (
    AllowanceAsk,
    AllowanceLease,
    AllowanceMessage,
    Counted,
    CountMe,
    Pledge,
    PledgeCall,
    PledgeReturn,
    ReturnAsk,
)
from ._allowance_settings import (
    AllowanceSettings,
    compute_burst,
)
from ._allowance_steward import (
    AllowanceSteward,
)
from ._arbiter_message import (
    AskHome,
    Claim,
    Close,
    Fence,
    HomeAnswer,
    WitnessAnswer,
)
from ._backend_book import (
    BackendBook,
)
from ._book_message import (
    BookBuckets,
    BookDigest,
    BookPull,
    BookPush,
    BookRevisions,
)
from ._book_settings import (
    BookSettings,
)
from ._book_sync import (
    BookSync,
)
from ._cell_settings import (
    CellSettings,
)
from ._closer import (
    judge_untaken,
    refuse_untaken,
)
from ._contract_book import (
    ContractBook,
)
from ._exchange import (
    FailureKind,
    RunReport,
)
from ._ledger import (
    KeyState,
    Ledger,
    LedgerEntry,
)
from ._node import (
    Node,
)
from ._node_settings import (
    NodeSettings,
)
from ._node_status import (
    EntryAddress,
    EntryList,
    NodeStatus,
)
from ._peer_message import (
    PEER_MESSAGE,
)
from ._quarantine import (
    CrashReport,
    Quarantine,
    QuarantineSettings,
    QuarantineState,
)
from ._retry_budget import (
    RetryBudget,
    RetryDecision,
    RetrySettings,
)
from ._trail import (
    Trail,
    TrailSettings,
    is_worth_keeping,
)
from ._trail_flush import (
    TrailFlushSettings,
    decode_batch,
    encode_batch,
    list_prefixes,
    make_batch_path,
)
from ._witness import (
    Witness,
)

__all__ = [
    "Admission",
    "AdmissionState",
    "AllowanceAsk",
    "AllowanceHolder",
    "AllowanceLease",
    "AllowanceMessage",
    "AllowanceSettings",
    "AllowanceSteward",
    "AskHome",
    "BackendBook",
    "BookBuckets",
    "BookDigest",
    "BookPull",
    "BookPush",
    "BookRevisions",
    "BookSettings",
    "BookSync",
    "CallStore",
    "Cancel",
    "CellSettings",
    "Claim",
    "Close",
    "ContractBook",
    "CountMe",
    "Counted",
    "CrashReport",
    "Dispatch",
    "EntryAddress",
    "EntryList",
    "FailureKind",
    "Fence",
    "HomeAnswer",
    "Join",
    "KeyState",
    "Ledger",
    "LedgerEntry",
    "Node",
    "NodeSettings",
    "NodeStatus",
    "PEER_MESSAGE",
    "Pledge",
    "PledgeCall",
    "PledgeReturn",
    "Quarantine",
    "QuarantineSettings",
    "QuarantineState",
    "Record",
    "Redirect",
    "Refuse",
    "Resume",
    "RetryBudget",
    "RetryDecision",
    "RetrySettings",
    "ReturnAsk",
    "RunReport",
    "Trail",
    "TrailFlushSettings",
    "TrailSettings",
    "Witness",
    "WitnessAnswer",
    "compute_burst",
    "decode_batch",
    "encode_batch",
    "is_worth_keeping",
    "judge_untaken",
    "refuse_untaken",
    "list_prefixes",
    "make_batch_path",
]
