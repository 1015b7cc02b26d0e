"""HTTP clients of the platform's store and of its list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Annotated, TypeVar
from urllib.parse import quote, urlencode

import logbook
import msgspec
from msgspec import Meta

from fireflyquay.contracts import (
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
from fireflyquay.world import (
    DECODE_ERRORS,
    MAX_COUNT,
    MAX_NAME_CHARS,
    Code,
    FireflyquayError,
    VmListing,
)

from ._http_client import HttpClient
from ._http_message import HttpFailure, HttpResponse
from ._idempotent_reader import IdempotentReader

VERSION_HEADER = "x-object-version"
REVISION_HEADER = "x-store-revision"

T = TypeVar("T")
LOG = logbook.Logger("store")
# Revisions and versions within the range that messages between VMs can encode.
_Revision = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class StoreListItem(msgspec.Struct, frozen=True):
    """Hold one object in the response body of a list request."""

    path: str
    value: bytes
    version: _Revision
    revision: _Revision


class StoreListBody(msgspec.Struct, frozen=True):
    """Hold the response body of a list request."""

    items: list[msgspec.Raw]
    revision: _Revision


class StoreWriteBody(msgspec.Struct, frozen=True):
    """Hold the response body of a write or of a version conflict."""

    version: int
    revision: int = 0


class Store(ABC):
    """Send requests to the platform's store."""

    @abstractmethod
    async def call(self, request: StoreRequest, timeout: float) -> StoreResponse:
        """Return the response; a StoreFailure on errors or after timeout seconds."""


class VmList(ABC):
    """Read the platform's list of VMs, which may be out of date."""

    @abstractmethod
    async def list(self) -> tuple[VmListing, ...]:
        """Return the listed VMs; raise FireflyquayError if the list can't be read."""


class HttpStore(Store):
    """Access the platform's store over HTTP."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._client = client
        self._host = host
        self._port = port
        self._reader = IdempotentReader(client, host, port)

    async def call(self, request: StoreRequest, timeout: float) -> StoreResponse:
        """Return the response; a StoreFailure on errors or after timeout seconds."""
        match request:
            case StoreRead():
                return await self._read(request, timeout)
            case StoreWrite():
                return await self._write(request, timeout)
            case StoreList(prefix=prefix):
                target = "/objects?" + urlencode({"prefix": prefix})
                return await self._list(prefix, target, timeout)
        raise FireflyquayError(
            Code.INTERNAL, f"Unknown type of store request: {request!r}."
        )

    async def _read(self, request: StoreRead, timeout: float) -> StoreResponse:
        failure = StoreFailure(request.path, may_have_applied=False)
        try:
            response = await self._reader.get(_make_target(request.path), timeout)
        except HttpFailure:
            return failure
        if response.status == 404:
            return StoreNotFound(request.path)
        if response.status != 200:
            return failure
        try:
            version = int(response.headers[VERSION_HEADER])
            revision = int(response.headers[REVISION_HEADER])
        except (KeyError, ValueError):
            return failure
        return StoredValue(request.path, response.body, version, revision)

    async def _write(self, request: StoreWrite, timeout: float) -> StoreResponse:
        headers = {"if-match": f'"{request.expected_version}"'}
        target = _make_target(request.path)
        try:
            response = await self._client.request(
                self._host, self._port, "PUT", target, headers, request.value, timeout
            )
        except HttpFailure as error:
            return StoreFailure(request.path, may_have_applied=error.sent)
        if response.status not in (200, 409):
            # A 5xx status may come from a proxy that lost the response to an applied
            # write.
            may_have_applied = not 400 <= response.status < 500
            return StoreFailure(request.path, may_have_applied)
        current = _decode_body(response, StoreWriteBody)
        if current is None:
            return StoreFailure(request.path, may_have_applied=response.status == 200)
        if response.status == 409:
            return StoreConflict(request.path, current.version)
        return StoredValue(
            request.path, request.value, current.version, current.revision
        )

    async def _list(self, prefix: str, target: str, timeout: float) -> StoreResponse:
        failure = StoreFailure(prefix, may_have_applied=False)
        try:
            response = await self._reader.get(target, timeout)
        except HttpFailure:
            return failure
        body = _decode_body(response, StoreListBody) if response.status == 200 else None
        if body is None:
            return failure
        items = _decode_items(body.items, StoreListItem, prefix)
        values = (
            StoredValue(item.path, item.value, item.version, item.revision)
            for item in items
        )
        return StoreListResult(tuple(values), body.revision)


class HttpVmList(VmList):
    """Read the platform's list of VMs over HTTP."""

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = 2.0
    ) -> None:
        self._reader = IdempotentReader(client, host, port)
        # Seconds to wait for the response.
        self._timeout = timeout

    async def list(self) -> tuple[VmListing, ...]:
        """Return the listed VMs; raise FireflyquayError if the list can't be read."""
        response = await self._reader.get("/vms", self._timeout)
        vms = None
        if response.status == 200:
            vms = _decode_body(response, tuple[msgspec.Raw, ...])
        if vms is None:
            raise FireflyquayError(
                Code.STORE_UNAVAILABLE,
                f"The response with status {response.status} holds no list of VMs.",
            )
        return tuple(_decode_items(vms, VmListing, "/vms"))


def _make_target(path: str) -> str:
    return "/objects/" + quote(path, safe="/")


def _decode_body(response: HttpResponse, body_type: type[T]) -> T | None:
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except DECODE_ERRORS:
        return None


def _decode_items(
    items: Iterable[msgspec.Raw], item_type: type[T], resource: str
) -> list[T]:
    """Decode the items of a list; skip and log those that are invalid."""
    decoded, causes = [], []
    for item in items:
        try:
            decoded.append(msgspec.json.decode(item, type=item_type))
        except DECODE_ERRORS as error:
            causes.append(str(error)[:MAX_NAME_CHARS])
    if causes:
        extra = {"resource": resource, "count": len(causes), "cause": causes[0]}
        LOG.warning("listed items unreadable", extra=extra)
    return decoded
