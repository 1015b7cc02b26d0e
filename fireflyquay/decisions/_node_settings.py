"""Settings of a node's decisions."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.membership._membership_settings import MembershipSettings

from ._allowance_settings import AllowanceSettings
from ._book_settings import BookSettings
from ._cell_settings import CellSettings
from ._quarantine import QuarantineSettings
from ._retry_budget import RetrySettings
from ._trail import TrailSettings


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold the settings of each part; allowances must be equal on all nodes."""

    membership: MembershipSettings = MembershipSettings()
    books: BookSettings = BookSettings()
    allowances: AllowanceSettings = AllowanceSettings()
    cells: CellSettings = CellSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    retries: RetrySettings = RetrySettings()
    trail: TrailSettings = TrailSettings()
