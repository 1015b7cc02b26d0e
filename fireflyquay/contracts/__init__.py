"""Contracts and backend servers as the store holds them, and changes to them."""

from ._change import (
    ChangeNote,
    amend_backend,
    amend_contract,
    encode_backend_change,
    encode_contract_change,
    is_applied,
)
from ._record_codec import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    RecordCodec,
)
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

__all__ = [
    "BACKENDS_PREFIX",
    "BACKEND_CODEC",
    "CONTRACTS_PREFIX",
    "CONTRACT_CODEC",
    "ChangeNote",
    "RecordCodec",
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
    "amend_backend",
    "amend_contract",
    "encode_backend_change",
    "encode_contract_change",
    "is_applied",
]
