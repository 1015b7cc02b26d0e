"""Stored records of contracts and backend servers, and the store's requests."""

from ._change import (
    ChangeMetadata,
    is_applied,
    update_backend_record,
    update_contract_record,
)
from ._record_codec import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    RecordCodec,
)
from ._store_request import (
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreList,
    StoreListing,
    StoreNotFound,
    StoreRead,
    StoreRequest,
    StoreResponse,
    StoreWrite,
)

__all__ = [
    "BACKENDS_PREFIX",
    "BACKEND_CODEC",
    "CONTRACTS_PREFIX",
    "CONTRACT_CODEC",
    "ChangeMetadata",
    "RecordCodec",
    "StoreConflict",
    "StoreFailure",
    "StoreList",
    "StoreListing",
    "StoreNotFound",
    "StoreRead",
    "StoreRequest",
    "StoreResponse",
    "StoreWrite",
    "StoredValue",
    "is_applied",
    "update_backend_record",
    "update_contract_record",
]
