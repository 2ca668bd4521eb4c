"""HTTP client for the platform's object store."""

from collections.abc import Callable
from typing import Any
import urllib.parse

from twisted.internet import defer
from twisted.python import failure
from twisted.web import iweb

import ragwort_http as http
import ragwort_model as model
import ragwort_wire as wire

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 3.0


def store_url(platform: str, call: model.StoreCall) -> str:
    """Return the URL of a store call."""
    base = f'http://{platform}/v1'
    name = urllib.parse.quote(call.name)
    match call.verb:
        case model.StoreVerb.LIST:
            return f'{base}/objects?prefix={name}'
        case model.StoreVerb.WATCH:
            wait_ms = int(call.wait_s * 1000)
            return (
                f'{base}/watch?prefix={name}'
                f'&since={model.revision_of(call.since)}'
                f'&wait_ms={wait_ms}'
            )
        case _:
            return f'{base}/objects/{name}'


def store_method(call: model.StoreCall) -> bytes:
    """Return the HTTP method of a store call."""
    if call.verb == model.StoreVerb.PUT:
        return b'PUT'
    return b'DELETE' if call.verb == model.StoreVerb.DELETE else b'GET'


class StoreClient:
    """Carry out StoreCall."""

    def __init__(
        self,
        reactor: Any,
        http_client: http.HttpClient,
        platform: str,
        on_result: Callable[[model.StoreResult], None],
    ) -> None:
        """Pass the results of all calls to on_result."""
        self.reactor = reactor
        self.http_client = http_client
        self.platform = platform
        self.on_result = on_result

    def call(self, call: model.StoreCall) -> None:
        """Send a call; it ends as UNAVAILABLE on an error or a timeout."""
        is_write = call.verb == model.StoreVerb.PUT
        body = wire.encode_write(call) if is_write else None
        url = store_url(self.platform, call)
        pending_result = self._send(call, store_method(call), url, body)
        timeout_s = CALL_TIMEOUT_S
        if call.wait_s:
            timeout_s = call.wait_s + WATCH_TIMEOUT_MARGIN_S
        # The timeout also closes the connection, which may be dead itself.
        pending_result.addTimeout(timeout_s, self.reactor)
        pending_result.addErrback(self._unavailable, call)
        pending_result.addCallback(self.on_result)

    @defer.inlineCallbacks
    def _send(
        self,
        call: model.StoreCall,
        method: bytes,
        url: str,
        body: bytes | None,
    ) -> Any:
        response: iweb.IResponse = yield self.http_client.request(
            method, url, body
        )
        content: bytes = yield http.read_body(response)
        return wire.decode_store_result(call.op, response.code, content)

    def _unavailable(
        self, _: failure.Failure, call: model.StoreCall
    ) -> model.StoreResult:
        return model.StoreResult(call.op, model.StoreStatus.UNAVAILABLE)
