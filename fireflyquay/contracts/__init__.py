"""Stored records of contracts and backend servers, and the store's requests."""

from ._change import (
    ChangeMetadata,
    build_next_backend_record,
    build_next_contract_record,
    includes_change,
)
from ._record_codec import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    RecordCodec,
    validate_contract,
)
from ._store_request import (
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreList,
    StoreListResult,
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
    "StoreListResult",
    "StoreNotFound",
    "StoreRead",
    "StoreRequest",
    "StoreResponse",
    "StoreWrite",
    "StoredValue",
    "build_next_backend_record",
    "build_next_contract_record",
    "includes_change",
    "validate_contract",
]
