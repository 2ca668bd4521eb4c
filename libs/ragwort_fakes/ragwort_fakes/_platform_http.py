"""The stand-in platform as an HTTP server."""

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

TICK_S = 0.02
SLOW_S = 0.8
CONFIG_PREFIX = 'config/'


def silent_site(root: resource.Resource) -> server.Site:
    """Return a site that writes neither access log nor tracebacks."""
    site = server.Site(root, timeout=120)
    site.noisy = False
    site.displayTracebacks = False
    site.log = _no_access_log
    return site


def _no_access_log(request: http.Request) -> None:
    """Write nothing."""


def argument(request: server.Request, name: str, default: str) -> str:
    """Return a query argument."""
    values = request.args.get(name.encode(), [])
    return str(values[0].decode()) if values else default


class PlatformServer:
    """Serve the object API, and a control call for tests."""

    def __init__(self, reactor: Any, settings: model.PlatformSettings) -> None:
        """Load the objects that the settings list."""
        self.reactor = reactor
        self.settings = settings
        self.core = _platform.PlatformCore(
            settings.reads_per_s, settings.writes_per_s
        )
        self.open: dict[str, server.Request] = {}
        self.counter = itertools.count()
        for name, content in settings.objects.items():
            text = json.dumps(
                _samples.with_name(name, content), sort_keys=True
            )
            model.parse_document(name, text)
            self.core.put(CONFIG_PREFIX + name, text)

    def start(self) -> Any:
        """Listen and return the port."""
        host, port = model.split_address(self.settings.listen)
        site = silent_site(_Root(self))
        listening = self.reactor.listenTCP(
            port, site, backlog=512, interface=host
        )
        self._tick()
        return listening

    def _tick(self) -> None:
        for answer in self.core.tick(time.monotonic()):
            request = self.open.pop(answer.caller, None)
            if request is not None:
                self._write(request, answer.result)
        self.reactor.callLater(TICK_S, self._tick)

    def serve(self, request: server.Request, call: model.StoreCall) -> int:
        """Carry out a call and answer when its result is there."""
        if _platform.PlatformFault.SLOW in self.core.faults:
            self.reactor.callLater(SLOW_S, self._serve, request, call)
        else:
            self._serve(request, call)
        return int(server.NOT_DONE_YET)

    def _serve(self, request: server.Request, call: model.StoreCall) -> None:
        caller = f'connection-{next(self.counter)}'
        finished = request.notifyFinish()
        finished.addErrback(lambda _: self._on_gone(caller))
        self.open[caller] = request
        result = self.core.call(caller, call, time.monotonic())
        if result is not None and self.open.pop(caller, None) is not None:
            self._write(request, result)

    def _on_gone(self, caller: str) -> None:
        self.open.pop(caller, None)
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
            prefix = argument(request, 'prefix', '')
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
            record.expected_version,
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
            argument(request, 'prefix', ''),
            since=int(argument(request, 'since', '0')),
            wait_s=int(argument(request, 'wait_ms', '0')) / 1000,
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
