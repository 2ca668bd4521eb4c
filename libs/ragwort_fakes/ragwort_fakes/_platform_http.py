"""HTTP server of the fake platform."""

import itertools
import json
import time
from typing import Any

from twisted.web import http
from twisted.web import resource
from twisted.web import server

from ragwort_fakes import _platform
from ragwort_fakes import _samples
import ragwort_model as model
import ragwort_wire as wire

TICK_INTERVAL_S = 0.02
SLOW_DELAY_S = 0.8
CONFIG_PREFIX = 'config/'


def create_unlogged_site(root: resource.Resource) -> server.Site:
    """Return a site that writes neither access log nor tracebacks."""
    site = server.Site(root, timeout=120)
    site.noisy = False
    site.displayTracebacks = False
    site.log = _no_access_log
    return site


def _no_access_log(request: http.Request) -> None:
    """Discard an access log entry."""


def query_argument(request: server.Request, name: str, default: str) -> str:
    """Return the first value of a query argument, or the default."""
    values = request.args.get(name.encode(), [])
    return str(values[0].decode()) if values else default


class PlatformServer:
    """Serve the object API, and a control endpoint for tests."""

    def __init__(self, reactor: Any, settings: model.PlatformSettings) -> None:
        """Load the objects that the settings list."""
        self.reactor = reactor
        self.settings = settings
        self.core = _platform.PlatformCore(
            settings.reads_per_s, settings.writes_per_s
        )
        self.pending: dict[str, server.Request] = {}
        self.caller_ids = itertools.count()
        for name, content in settings.objects.items():
            text = json.dumps(
                _samples.with_name(name, content), sort_keys=True
            )
            model.parse_document(name, text)
            self.core.put(CONFIG_PREFIX + name, text)

    def start(self) -> Any:
        """Listen and return the port."""
        host, port = model.split_address(self.settings.listen)
        site = create_unlogged_site(_Root(self))
        listening = self.reactor.listenTCP(
            port, site, backlog=512, interface=host
        )
        self._tick()
        return listening

    def _tick(self) -> None:
        for answer in self.core.tick(time.monotonic()):
            request = self.pending.pop(answer.caller, None)
            if request is not None:
                self._write(request, answer.result)
        self.reactor.callLater(TICK_INTERVAL_S, self._tick)

    def serve(self, request: server.Request, call: model.StoreCall) -> int:
        """Execute a call and respond once its result is available."""
        if _platform.PlatformFault.SLOW in self.core.faults:
            self.reactor.callLater(SLOW_DELAY_S, self._execute, request, call)
        else:
            self._execute(request, call)
        return int(server.NOT_DONE_YET)

    def _execute(self, request: server.Request, call: model.StoreCall) -> None:
        caller = f'connection-{next(self.caller_ids)}'
        finished = request.notifyFinish()
        finished.addErrback(lambda _: self._on_disconnect(caller))
        self.pending[caller] = request
        result = self.core.call(caller, call, time.monotonic())
        if result is not None and self.pending.pop(caller, None) is not None:
            self._write(request, result)

    def _on_disconnect(self, caller: str) -> None:
        self.pending.pop(caller, None)
        self.core.drop_watches(caller)

    def _write(
        self, request: server.Request, result: model.StoreResult
    ) -> None:
        code = wire.HTTP_CODE_BY_STATUS.get(
            result.status, wire.HTTP_SERVICE_UNAVAILABLE
        )
        request.setResponseCode(code)
        request.setHeader(b'content-type', b'application/json')
        request.write(wire.encode_store_result(result))
        request.finish()


class _Root(resource.Resource):
    def __init__(self, platform: PlatformServer) -> None:
        super().__init__()
        version = resource.Resource()
        self.putChild(b'v1', version)
        version.putChild(b'objects', _Objects(platform))
        version.putChild(b'watch', _Watch(platform))
        self.putChild(b'control', _Control(platform))


class _PlatformLeaf(resource.Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, platform: PlatformServer) -> None:
        super().__init__()
        self.platform = platform


class _Objects(_PlatformLeaf):
    """GET, PUT and DELETE of objects, and lists by prefix."""

    def render_GET(self, request: server.Request) -> int:  # noqa: N802
        name = _name(request)
        if name:
            call = model.StoreCall('http', model.StoreVerb.GET, name)
        else:
            prefix = query_argument(request, 'prefix', '')
            call = model.StoreCall('http', model.StoreVerb.LIST, prefix)
        return self.platform.serve(request, call)

    def render_PUT(self, request: server.Request) -> Any:  # noqa: N802
        try:
            record = wire.decode_write(request.content.read())
        except model.WireError as error:
            request.setResponseCode(400)
            return str(error).encode()
        call = model.StoreCall(
            'http',
            model.StoreVerb.PUT,
            _name(request),
            record.value,
            model.make_version(record.expected_era, record.expected_version),
        )
        return self.platform.serve(request, call)

    def render_DELETE(self, request: server.Request) -> int:  # noqa: N802
        call = model.StoreCall('http', model.StoreVerb.DELETE, _name(request))
        return self.platform.serve(request, call)


def _name(request: server.Request) -> str:
    return '/'.join(part.decode() for part in request.postpath)


class _Watch(_PlatformLeaf):
    """Long poll for changes after a revision."""

    def render_GET(self, request: server.Request) -> int:  # noqa: N802
        call = model.StoreCall(
            'http',
            model.StoreVerb.WATCH,
            query_argument(request, 'prefix', ''),
            since=int(query_argument(request, 'since', '0')),
            wait_s=int(query_argument(request, 'wait_ms', '0')) / 1000,
        )
        return self.platform.serve(request, call)


class _Control(_PlatformLeaf):
    """POST {"fault": NAME, "active": BOOL} or {"host": .., "value": ..}."""

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        body = json.loads(request.content.read())
        core = self.platform.core
        if 'host' in body:
            lag_s = self.platform.settings.host_list_lag
            now = time.monotonic()
            core.set_host(body['host'], body.get('value'), now, lag_s)
        else:
            fault = _platform.PlatformFault(body['fault'])
            core.set_fault(fault, bool(body['active']))
        return b'{}'

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        core = self.platform.core
        counts = {
            'reads': core.read_count,
            'writes': core.write_count,
            'limited': core.limited_count,
            'watches': len(core.watches),
        }
        return json.dumps(counts).encode()
