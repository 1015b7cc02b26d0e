"""HTTP clients of the platform's store and of its list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from fireflyquay.contracts import (
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
from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
    FireflyquayError,
    VmListing,
)

from ._http_client import HttpClient
from ._http_message import HttpFailure, HttpResponse

VERSION_HEADER = "x-object-version"
REVISION_HEADER = "x-store-revision"

T = TypeVar("T")


class StoreListItem(msgspec.Struct, frozen=True):
    """Hold one object of a listing."""

    path: str
    value: bytes
    version: int
    revision: int


class StoreListBody(msgspec.Struct, frozen=True):
    """Hold the response body of a list request."""

    items: list[StoreListItem]
    revision: int


class StoreWriteBody(msgspec.Struct, frozen=True):
    """Hold the response body of a write or of a version conflict."""

    version: int
    revision: int = 0


class Store(ABC):
    """Run calls to the platform's store."""

    @abstractmethod
    async def call(self, call: StoreRequest, timeout: float) -> StoreResponse:
        """Return the result, or StoreFailed after the timeout in seconds."""


class VmList(ABC):
    """Read the platform's list of VMs, which lags behind the actual VMs."""

    @abstractmethod
    async def list(self) -> tuple[VmListing, ...]:
        """Return the listed VMs; raise FireflyquayError if they can't be read."""


class HttpStore(Store):
    """Access the platform's store over HTTP."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._client = client
        self._host = host
        self._port = port

    async def call(self, call: StoreRequest, timeout: float) -> StoreResponse:
        """Return the result, or StoreFailed after the timeout in seconds."""
        match call:
            case StoreRead():
                return await self._read(call, timeout)
            case StoreWrite():
                return await self._write(call, timeout)
            case StoreList(prefix=prefix):
                target = "/objects?" + urlencode({"prefix": prefix})
                return await self._list(prefix, target, timeout)
        raise FireflyquayError(Code.INTERNAL, f"Unknown store call {call!r}.")

    async def _read(self, call: StoreRead, timeout: float) -> StoreResponse:
        failed = StoreFailure(call.path, may_have_applied=False)
        try:
            response = await self._send(
                "GET", _make_target(call.path), {}, b"", timeout
            )
        except HttpFailure:
            return failed
        if response.status == 404:
            return StoreNotFound(call.path)
        if response.status != 200:
            return failed
        try:
            version = int(response.headers[VERSION_HEADER])
            revision = int(response.headers[REVISION_HEADER])
        except (KeyError, ValueError):
            return failed
        return StoredValue(call.path, response.body, version, revision)

    async def _write(self, call: StoreWrite, timeout: float) -> StoreResponse:
        headers = {"if-match": f'"{call.expected_version}"'}
        target = _make_target(call.path)
        try:
            response = await self._send("PUT", target, headers, call.value, timeout)
        except HttpFailure as failure:
            return StoreFailure(call.path, may_have_applied=failure.sent)
        if response.status not in (200, 409):
            # A server error may come from a proxy that lost the response to a write
            # that was applied.
            may_have_applied = not 400 <= response.status < 500
            return StoreFailure(call.path, may_have_applied)
        current = _decode_body(response, StoreWriteBody)
        if current is None:
            return StoreFailure(call.path, may_have_applied=response.status == 200)
        if response.status == 409:
            return StoreConflict(call.path, current.version)
        return StoredValue(call.path, call.value, current.version, current.revision)

    async def _list(self, prefix: str, target: str, timeout: float) -> StoreResponse:
        failed = StoreFailure(prefix, may_have_applied=False)
        try:
            response = await self._send("GET", target, {}, b"", timeout)
        except HttpFailure:
            return failed
        page = _decode_body(response, StoreListBody) if response.status == 200 else None
        if page is None:
            return failed
        values = (
            StoredValue(item.path, item.value, item.version, item.revision)
            for item in page.items
        )
        return StoreListing(tuple(values), page.revision)

    async def _send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> HttpResponse:
        return await self._client.request(
            self._host, self._port, method, target, headers, body, timeout
        )


class HttpVmList(VmList):
    """Read the list of VMs over HTTP."""

    def __init__(
        self, client: HttpClient, host: str, port: int, timeout: float = 2.0
    ) -> None:
        self._client = client
        self._host = host
        self._port = port
        # Seconds to wait for the response.
        self._timeout = timeout

    async def list(self) -> tuple[VmListing, ...]:
        """Return the listed VMs; raise FireflyquayError if they can't be read."""
        response = await self._client.request(
            self._host, self._port, "GET", "/vms", {}, b"", self._timeout
        )
        vms = None
        if response.status == 200:
            vms = _decode_body(response, tuple[VmListing, ...])
        if vms is None:
            raise FireflyquayError(
                Code.STORE_UNAVAILABLE, "The list of VMs can't be read."
            )
        return vms


def _make_target(path: str) -> str:
    return "/objects/" + quote(path, safe="/")


def _decode_body(response: HttpResponse, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except DECODE_ERRORS:
        return None
