"""The project's own HTTP interface for clients and operators, built on the gateway."""

from ._contract_source import ContractSource, convert_backend, convert_contracts
from ._dialect import ContractDialect
from ._entry import make_gateway, run_entry
from ._key_claims import StoreClaims
from ._settings import (
    EntrySettings,
    HttpSettings,
    KindSettings,
    NodeSettings,
    PlatformSettings,
    check_settings,
    load_settings,
    parse_settings,
)

__all__ = [
    "ContractDialect",
    "ContractSource",
    "EntrySettings",
    "HttpSettings",
    "KindSettings",
    "NodeSettings",
    "PlatformSettings",
    "StoreClaims",
    "check_settings",
    "convert_backend",
    "convert_contracts",
    "load_settings",
    "make_gateway",
    "parse_settings",
    "run_entry",
]
