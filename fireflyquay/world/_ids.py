"""Identifier types."""

from __future__ import annotations

from typing import NewType

CustomerId = NewType("CustomerId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
# Random identifier of one process of an entry VM, new at each start. (SWIM's
# incarnation number is MemberRecord.generation.)
Incarnation = NewType("Incarnation", str)
BackendServerId = NewType("BackendServerId", str)
PoolId = NewType("PoolId", str)
# Value of the Idempotency-Key header that a client sends.
RequestKey = NewType("RequestKey", str)
ChangeId = NewType("ChangeId", str)
# Hash that is equal for copies of a request.
Fingerprint = NewType("Fingerprint", str)
ServiceId = NewType("ServiceId", str)
ClientAccountId = NewType("ClientAccountId", str)
# Names what may make a request crash backend servers.
SuspectId = NewType("SuspectId", str)
# Names a part of a prompt that other requests may have too.
PromptPartId = NewType("PromptPartId", str)
ModelName = NewType("ModelName", str)
# Names the release of a backend server's software, not of its model's weights.
SoftwareVersion = NewType("SoftwareVersion", str)
# Identifier that the client generates for each attempt.
AttemptId = NewType("AttemptId", str)
