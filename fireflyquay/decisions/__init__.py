"""Decisions as synchronous objects: typed events in, typed actions out."""

from ._action import (
    Action,
    CallStore,
    Cancel,
    Dispatch,
    Join,
    Record,
    Redirect,
    Refuse,
    Resume,
    Send,
    SendTo,
)
from ._admission import Admission, AdmissionState
from ._allowance_holder import AllowanceHolder
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
from ._allowance_settings import AllowanceSettings, compute_burst
from ._allowance_steward import AllowanceSteward
from ._arbiter_message import AskHome, Claim, Close, Fence, HomeAnswer, WitnessAnswer
from ._backend_book import BACKENDS_PREFIX, BackendBook
from ._book_message import BookBuckets, BookDigest, BookPull, BookPush, BookRevisions
from ._book_settings import BookSettings
from ._book_sync import BookSync
from ._cell_settings import CellSettings
from ._change import (
    ChangeNote,
    amend_backend,
    amend_contract,
    encode_backend_change,
    encode_contract_change,
    is_applied,
)
from ._closer import judge_untaken, refuse_untaken
from ._contract_book import CONTRACTS_PREFIX, ContractBook
from ._exchange import FailureKind, RunReport
from ._ledger import KeyState, Ledger, LedgerEntry
from ._member_table import ChangeKind
from ._membership import Membership
from ._membership_message import (
    Ack,
    JoinAnswer,
    JoinRequest,
    MemberBuckets,
    MemberDigest,
    MemberRecord,
    Ping,
    PingRequest,
)
from ._membership_settings import MembershipSettings
from ._message import Message
from ._node import Node
from ._node_settings import NodeSettings
from ._node_status import EntryAddress, EntryList, NodeStatus
from ._peer_message import PEER_MESSAGE, MembershipMessage
from ._quarantine import CrashReport, Quarantine, QuarantineSettings, QuarantineState
from ._record_codec import BACKEND_CODEC, CONTRACT_CODEC, RecordCodec
from ._rendezvous import choose_one, rank
from ._retry_budget import RetryBudget, RetryDecision, RetrySettings
from ._store_call import (
    StoreAnswer,
    StoreCall,
    StoreConflict,
    StoredValue,
    StoreFailed,
    StoreList,
    StoreListing,
    StoreMissing,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from ._trail import Trail, TrailSettings, is_worth_keeping
from ._trail_flush import (
    TrailFlushSettings,
    decode_batch,
    encode_batch,
    list_prefixes,
    make_batch_path,
)
from ._witness import Witness

__all__ = [
    "Ack",
    "Action",
    "Admission",
    "AdmissionState",
    "AllowanceAsk",
    "AllowanceHolder",
    "AllowanceLease",
    "AllowanceMessage",
    "AllowanceSettings",
    "AllowanceSteward",
    "AskHome",
    "BACKENDS_PREFIX",
    "BACKEND_CODEC",
    "BackendBook",
    "BookBuckets",
    "BookDigest",
    "BookPull",
    "BookPush",
    "BookRevisions",
    "BookSettings",
    "BookSync",
    "CONTRACTS_PREFIX",
    "CONTRACT_CODEC",
    "CallStore",
    "Cancel",
    "CellSettings",
    "ChangeKind",
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
    "JoinAnswer",
    "JoinRequest",
    "KeyState",
    "Ledger",
    "LedgerEntry",
    "MemberBuckets",
    "MemberDigest",
    "MemberRecord",
    "Membership",
    "MembershipMessage",
    "MembershipSettings",
    "Message",
    "Node",
    "NodeSettings",
    "NodeStatus",
    "PEER_MESSAGE",
    "Ping",
    "PingRequest",
    "Pledge",
    "PledgeCall",
    "PledgeReturn",
    "Quarantine",
    "QuarantineSettings",
    "QuarantineState",
    "Record",
    "RecordCodec",
    "Redirect",
    "Refuse",
    "Resume",
    "RetryBudget",
    "RetryDecision",
    "RetrySettings",
    "ReturnAsk",
    "RunReport",
    "Send",
    "SendTo",
    "StoreAnswer",
    "StoreCall",
    "StoreConflict",
    "StoreFailed",
    "StoreList",
    "StoreListing",
    "StoreMissing",
    "StoreRead",
    "StoreWatch",
    "StoreWrite",
    "StoredValue",
    "Trail",
    "TrailFlushSettings",
    "TrailSettings",
    "Witness",
    "WitnessAnswer",
    "choose_one",
    "compute_burst",
    "decode_batch",
    "ChangeNote",
    "amend_backend",
    "amend_contract",
    "encode_backend_change",
    "encode_batch",
    "encode_contract_change",
    "is_applied",
    "is_worth_keeping",
    "judge_untaken",
    "refuse_untaken",
    "list_prefixes",
    "make_batch_path",
    "rank",
]
