"""Book of contracts in force."""

from __future__ import annotations

from dataclasses import replace

from fireflyquay.contracts import CONTRACTS_PREFIX
from fireflyquay.contracts._record_codec import CONTRACT_CODEC, check_contract
from fireflyquay.world import (
    Code,
    Contract,
    ContractRecord,
    CustomerId,
    FireflyquayError,
)

from ._versioned_book import VersionedBook


class ContractBook(VersionedBook[ContractRecord]):
    """Hold the contract in force of each customer."""

    prefix = CONTRACTS_PREFIX
    _codec = CONTRACT_CODEC

    def __init__(self) -> None:
        super().__init__()
        self._customers: dict[str, set[CustomerId]] = {}

    def get(self, customer: CustomerId) -> ContractRecord | None:
        """Return a customer's contract, None when there is none."""
        return self._find(CONTRACTS_PREFIX + customer)

    def find_by_token(self, token: str) -> ContractRecord | None:
        """Return the contract that a caller's token belongs to.

        A token that stands in two contracts belongs to the lower customer id.
        """
        customers = self._customers.get(token)
        return self.get(min(customers)) if customers else None

    def list_contracts(self) -> list[Contract]:
        """Return all contracts by customer."""
        paths = sorted(self._entries)
        return [self._entries[path].record.contract for path in paths]

    def list_versions(self) -> dict[CustomerId, int]:
        """Return the version in force of each contract."""
        records = [entry.record for entry in self._entries.values()]
        return {record.contract.customer: record.version for record in records}

    def _check(self, path: str, record: ContractRecord) -> None:
        if path != CONTRACTS_PREFIX + record.contract.customer:
            raise FireflyquayError(
                Code.BAD_CONTRACT, f"{path} holds the contract of another customer."
            )
        check_contract(record.contract)

    def _strip(self, record: ContractRecord) -> ContractRecord:
        return replace(record, changes=())

    def _index(self, before: ContractRecord | None, after: ContractRecord) -> None:
        if before is not None:
            self._forget_token(before.contract)
        contract = after.contract
        self._customers.setdefault(contract.token, set()).add(contract.customer)

    def _forget_token(self, contract: Contract) -> None:
        customers = self._customers[contract.token]
        customers.discard(contract.customer)
        if not customers:
            del self._customers[contract.token]
