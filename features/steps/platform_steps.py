"""Steps of the adapter between the platform and the relay."""

import json
import pathlib
import re
import shutil
import tempfile
from typing import Any

from behave import then
from behave import when
import yaml

from features.support import templates
import ragwort_edge as edge
import ragwort_model as model
import ragwort_platform as platform
import ragwort_relay as relay

TEMPLATE = pathlib.Path('deploy/host.yaml.template')
STORE = '10.0.0.9:80'
# A section is rendered once if the platform has its value.
SECTION_PATTERN = re.compile(r'{{#([^}]+)}}\n?(.*?){{/\1}}\n?', re.DOTALL)
EXAMPLE = {
    'node': 'host-1',
    'zone': 'north',
    'region': 'here',
    'zones|json': '{"north": "here", "west": "there"}',
    'listen.front': '10.0.0.1:81',
    'listen.ready': '10.0.0.1:82',
    'listen.directory': '10.0.0.1:83',
    'listen.control': '10.0.0.1:84',
    'ipAddress': '10.0.0.1',
    'internalPorts.0': '85',
    'seeds|json': '["10.0.0.2:84"]',
    'platform.address': STORE,
    'bounds.graceS': '8',
    'bounds.retryBudgetRatio': '0.2',
    'bounds.retryBudgetSlack': '52',
    'bounds.budgetWindowS': '10',
    'limits.cpuShare': '0.5',
    'limits.cores': '2',
    'limits.linkMbps': '40.0',
    'contracts|json': '["stages"]',
    'limits.memoryMb': '200',
}
ROUTE = {
    'name': 'briefing',
    'host': 'One.example',
    'pathPrefix': '/a/',
    'kind': 'streaming',
    'timeoutMs': 6000,
    'targetLatencyMs': 920,
    'priority': 0,
    'attempts': 2,
    'split': [
        {'service': 'engine', 'weight': 90},
        {'service': 'other', 'weight': 10},
    ],
    'stages': [
        {'service': 'portal', 'after': [], 'bytes': 3000000},
        {'service': 'portal', 'after': [], 'bytes': 8000},
        {'service': 'portal', 'after': [1], 'bytes': 6000},
    ],
    'resumeStreams': True,
    'targetGapMs': 250,
    'comingField': {'x': 1},
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {'name': 'engine', 'healthPath': '/health', 'engine': {}},
        {
            'name': 'portal',
            'pieces': {
                'batch': 4,
                'callMs': 150.0,
                'itemMs': 32.0,
                'headroomMb': 22.0,
                'handleS': 4.0,
            },
        },
    ],
    'limits': {
        'headerBytes': 16384,
        'bodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 'school', 'accessKeys': ['k1', 'k2'], 'priority': 1}],
}
SERVER = {
    'service': 'engine',
    'address': '10.0.1.1:80',
    'zone': 'north',
    'version': 'v1.2',
    'state': 'ready',
    'slots': 64,
    'born': 1700000000000,
}


def template_settings(**changes: str) -> Any:
    """Return the template filled in, as the file's content."""
    values = EXAMPLE | changes
    text = templates.render(TEMPLATE.read_text(), values)
    return yaml.safe_load(text)


@when('platform settings hold "{line}"')
def set_line(context: Any, line: str) -> None:
    """Change one line of valid settings."""
    content = template_settings() | yaml.safe_load(line)
    context.refusal = ''
    try:
        platform.parse_settings(content, 'node.yaml')
    except model.SettingsError as error:
        context.refusal = str(error)


@when('the settings template is filled in with an example')
def fill_template(context: Any) -> None:
    """Read the template's result."""
    content = template_settings()
    context.settings = platform.parse_settings(content, 'host.yaml')


@then('the settings name that host and its store')
def check_settings(context: Any) -> None:
    """Compare a few values."""
    settings = context.settings
    assert settings.name == 'host-1'
    assert settings.store == STORE
    assert settings.seeds == ['10.0.0.2:84']
    assert settings.retries.slack == 52
    host = platform.host_options(settings).host
    assert host.capacity == 0.4
    assert host.hand_over_address == '10.0.0.1:85'
    options = platform.host_options(settings)
    assert options.memory_mb == 200
    regions = options.all_regions
    assert regions == {'north': 'here', 'west': 'there'}, regions


@when('valid platform settings hold "{line}"')
def change_settings(context: Any, line: str) -> None:
    """Read the template's result with a change."""
    content = template_settings() | yaml.safe_load(line)
    context.options = platform.host_options(
        platform.parse_settings(content, 'node.yaml')
    )


@then('the runner models are {switch}')
def check_switch(context: Any, switch: str) -> None:
    """Look at the host's options."""
    assert context.options.runner_models == (switch == 'on')


@when('a service of the configuration has the engine {content}')
def set_engine(context: Any, content: str) -> None:
    """Apply a configuration with an engine object."""
    service = {'name': 'engine', 'engine': json.loads(content)}
    value = json.dumps(CONFIGURATION | {'services': [service]})
    context.catalog = catalog_with(value)


@then('its engine is read as {engine}')
def check_engine(context: Any, engine: str) -> None:
    """Compare memory and places."""
    assert not context.catalog.problems, context.catalog.problems
    expected = None
    if engine != 'none':
        expected = relay.EngineSpec(*map(int, engine.split(',')))
    spec = context.catalog.configuration.services['engine']
    assert spec.engine == expected, spec
    known = context.catalog.runner_models.engines.get('engine')
    assert known == expected, known


DEPLOY = pathlib.Path('deploy/system.toml')
DEPLOY_CHANGES = {
    'no build': ('build =', 'built ='),
    'a share of two': ('share = 1.0', 'share = 2.0'),
    'an unknown service': ('"control"]', '"control", "disk"]'),
    'no such template': ('host.yaml.template', 'none.template'),
    'metrics elsewhere': ('"9464/metrics"', '"/metrics"'),
    'no directory': ('"directory", ', ''),
    'text that is no TOML': ('[roles.relay]', '[roles.relay'),
}


@when('the deploy file has {mistake}')
def check_deploy(context: Any, mistake: str) -> None:
    """Check a changed copy of the deploy file."""
    before, after = DEPLOY_CHANGES[mistake]
    text = DEPLOY.read_text()
    assert before in text
    folder = pathlib.Path(tempfile.mkdtemp())
    (folder / 'deploy').mkdir()
    template = folder / 'deploy' / TEMPLATE.name
    template.write_text(TEMPLATE.read_text())
    path = folder / 'deploy' / 'system.toml'
    path.write_text(text.replace(before, after))
    context.refusal = ''
    try:
        platform.check_deploy(path)
    except model.SettingsError as error:
        context.refusal = f'node.yaml {error}'
    shutil.rmtree(folder)


@then('the deploy file in the repository has one role on every machine')
def check_own_deploy(context: Any) -> None:
    """Check the real file."""
    (role,) = platform.check_deploy(DEPLOY).roles.values()
    assert role.share == 1.0
    assert pathlib.Path(role.run.split()[1]).is_file()


def catalog_with(value: str) -> relay.RelayCatalog:
    """Return a catalog that was given a configuration."""
    catalog = relay.RelayCatalog(platform.PlatformDialect())
    catalog.apply(model.StoredObject('config/main', 1, value))
    return catalog


@when('the example configuration is read')
def read_configuration(context: Any) -> None:
    """Apply the example."""
    context.catalog = catalog_with(json.dumps(CONFIGURATION))
    assert not context.catalog.problems, context.catalog.problems


@then('its staged route has two services, a target and three stages')
def check_configuration(context: Any) -> None:
    """Compare the route."""
    configuration = context.catalog.configuration
    route = configuration.find_route('one.example', '/a/x')
    assert route is not None
    assert route.kind == relay.CallKind.STREAM
    assert route.may_repeat
    assert abs(route.target_s - 0.92) < 1e-9
    assert abs(route.patience_s - 4 * 0.92) < 1e-9
    assert [s.service for s in route.shares] == ['engine', 'other']
    assert [s.after for s in route.stages] == [(), (), (1,)]
    assert configuration.services['portal'].batch_limits.storage_bytes == 22e6


@then('its keys lead to their workspace and an unknown field is ignored')
def check_keys(context: Any) -> None:
    """Look a key up."""
    keys = context.catalog.configuration.workspaces_by_key
    assert keys['k2'].name == 'school'
    assert 'k3' not in keys


@when('a configuration names home regions')
def read_homes(context: Any) -> None:
    """Apply a configuration with and one without homes."""
    bound = json.loads(json.dumps(CONFIGURATION))
    bound['routes'][0]['homeRegions'] = ['here', 'there']
    bound['tenants'][0]['homeRegions'] = ['there']
    context.catalog = catalog_with(json.dumps(CONFIGURATION))
    context.bound = catalog_with(json.dumps(bound))


@then('the route and the workspace have these homes, and none without them')
def check_homes(context: Any) -> None:
    """Compare both configurations."""
    bound = context.bound.configuration
    assert bound.routes[0].home_regions == {'here', 'there'}
    assert bound.workspaces[0].home_regions == {'there'}
    free = context.catalog.configuration
    assert free.routes[0].home_regions is None
    assert free.workspaces[0].home_regions is None


@when('a configuration with {mistake} follows a valid one')
def follow_invalid(context: Any, mistake: str) -> None:
    """Apply an invalid version."""
    broken = json.loads(json.dumps(CONFIGURATION))
    if mistake == 'an unknown kind':
        broken['routes'][0]['kind'] = 'odd'
    elif mistake == 'no services':
        del broken['services']
    elif mistake == 'a text for a time':
        broken['routes'][0]['timeoutMs'] = 'soon'
    elif mistake == 'a text for homes':
        broken['routes'][0]['homeRegions'] = 'here'
    value = json.dumps(broken)
    if mistake == 'bytes not readable':
        value = value[:-9]
    context.catalog = catalog_with(json.dumps(CONFIGURATION))
    context.catalog.apply(model.StoredObject('config/main', 2, value))


@then('the valid one stays in force and the problem is noted')
def check_last(context: Any) -> None:
    """Look at what is in force."""
    assert context.catalog.configuration.version == 7
    assert context.catalog.problems['config/main']


@when("a runner's entry has {mistake}")
def read_entry(context: Any, mistake: str) -> None:
    """Decode an entry."""
    entry: dict[str, Any] = dict(SERVER)
    changes: dict[str, Any] = {
        'an odd state': {'state': 'resting'},
        'a text for slots': {'slots': 'many'},
        'no slots': {'slots': 0},
        'an odd address': {'address': 'engine.local:80'},
        'a number for version': {'version': 2},
    }
    entry |= changes.get(mistake, {})
    if mistake in ('no address', 'no version'):
        del entry[mistake.removeprefix('no ')]
    value = json.dumps(entry)
    if mistake == 'bytes not text':
        value = '\ufffd\ufffd{'
    dialect = platform.PlatformDialect()
    assert dialect.decode_runner('servers/a', json.dumps(SERVER))
    context.error = None
    try:
        dialect.decode_runner('servers/a', value)
    except model.ConfigurationError as error:
        context.error = error


@then('it is refused as a configuration error')
def check_entry(context: Any) -> None:
    """Look for the error."""
    assert context.error is not None


def request(*headers: tuple[bytes, bytes]) -> edge.HttpRequest:
    """Return a request with an id and more headers."""
    return edge.HttpRequest(
        b'POST', b'/a/1', ((b'request-id', b'abc'), *headers), b'body'
    )


@when(
    'a request names its id, time, key, event, prompt, pieces and first '
    'attempt'
)
def read_facts(context: Any) -> None:
    """Read a request with everything."""
    context.facts = platform.PlatformDialect().read_request(
        request(
            (b'deadline-milliseconds', b'4500'),
            (b'authorization', b'Bearer k1'),
            (b'last-event-id', b'12'),
            (b'prompt-prefix', b'5c1e:800,91bd:410'),
            (b'pieces', b'2,0,1'),
            (b'piece-key', b'7c1e'),
            (b'resumes', b'def'),
        )
    )


@then("the facts hold them in the project's units")
def check_facts(context: Any) -> None:
    """Compare the facts."""
    prompt = (relay.PromptPart('5c1e', 800), relay.PromptPart('91bd', 410))
    assert context.facts == edge.RequestMetadata(
        'abc', 4.5, 'k1', 12, prompt, (2, 0, 1), '7c1e', 'def'
    )


@when('a request has {mistake}')
def read_bad(context: Any, mistake: str) -> None:
    """Read a request with a mistake."""
    bad = {
        'no id': edge.HttpRequest(b'GET', b'/', ()),
        'two different ids': request((b'request-id', b'xyz')),
        'a time of minus one': request((b'deadline-milliseconds', b'-1')),
        'pieces of letters': request((b'pieces', b'two')),
    }
    context.error = None
    try:
        platform.PlatformDialect().read_request(bad[mistake])
    except model.InvalidInputError as error:
        context.error = error


@then('it is refused as bad input')
def check_bad(context: Any) -> None:
    """Look for the error."""
    assert context.error is not None


def fleet_runner() -> relay.FleetRunner:
    """Return a runner of the example."""
    catalog = catalog_with(json.dumps(CONFIGURATION))
    item = model.StoredObject('servers/i-1', 1, json.dumps(SERVER))
    catalog.apply(item)
    return catalog.fleet.runners['servers/i-1']


@when('a caller sends every header that the system sets')
def send_forged(context: Any) -> None:
    """Forward a request full of forged headers."""
    names = (
        b'tenant hold pin-milliseconds key-value-backup kv-from kv-fetch '
        b'expected-instance expected-version request-priority inputs '
        b'connection x-secret'
    ).split()
    forged = [(name, b'forged') for name in names]
    forged[-2] = (b'connection', b'x-secret')
    incoming = request(*forged, (b'authorization', b'Bearer k1'))
    dialect = platform.PlatformDialect()
    call = edge.MainCall(
        incoming,
        dialect.read_request(incoming),
        'school',
        fleet_runner(),
        2.5,
        1,
        ('10.0.1.1:80/1',),
        None,
    )
    context.sent = dialect.main_request(call)


@then("a runner gets only the system's own values")
def check_forged(context: Any) -> None:
    """Compare what is sent."""
    headers = dict(context.sent.headers)
    assert b'forged' not in headers.values(), headers
    assert headers == {
        b'request-id': b'abc',
        b'deadline-milliseconds': b'2500',
        b'expected-instance': b'i-1',
        b'tenant': b'school',
        b'inputs': b'10.0.1.1:80/1',
    }, headers
    assert context.sent.body == b'body'


@when("a runner's response has {what}")
def read_response(context: Any, what: str) -> None:
    """Read a response with one thing about it."""
    sealed = ((b'request-id', b'abc'), (b'response-seal', b's'))
    # More digits than Python converts to a number.
    long_number = b'9' * 5000
    responses = {
        'its seal and the id': edge.HttpResponse(200, sealed),
        'no seal': edge.HttpResponse(200, sealed[:1]),
        "another request's id": edge.HttpResponse(
            200, ((b'request-id', b'xyz'), sealed[1])
        ),
        'an encoded body': edge.HttpResponse(
            200, (*sealed, (b'content-encoding', b'gzip'))
        ),
        'the mark for not run': edge.HttpResponse(
            503, ((b'not-executed', b'1'),)
        ),
        'status 421': edge.HttpResponse(421),
        'a limit of 1.5': edge.HttpResponse(
            200, (*sealed, (b'server-limit', b' 1.5'))
        ),
        'a limit in words': edge.HttpResponse(
            200, (*sealed, (b'server-limit', b'one'))
        ),
        'a limit below zero': edge.HttpResponse(
            200, (*sealed, (b'server-limit', b'-1'))
        ),
        'the mark for leaving': edge.HttpResponse(
            200, (*sealed, (b'server-leaving', b'1'))
        ),
        'leaving in words': edge.HttpResponse(
            200, (*sealed, (b'server-leaving', b'no'))
        ),
        'a pause of 1.5 s': edge.HttpResponse(
            503, ((b'not-executed', b'1'), (b'retry-after', b'1.5'))
        ),
        'a pause below zero': edge.HttpResponse(
            503, ((b'not-executed', b'1'), (b'retry-after', b'-1'))
        ),
        'a pause until a date': edge.HttpResponse(
            503, ((b'retry-after', b'Fri, 04 Dec 2026 12:00:00 GMT'),)
        ),
        'a pause but status 200': edge.HttpResponse(
            200, (*sealed, (b'retry-after', b'1.5'))
        ),
        'its load': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8'))
        ),
        'its load and pace': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8, 150'))
        ),
        'a pace in words': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8,fast'))
        ),
        'a pace of zero': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8,0'))
        ),
        'a load of 5,000 digits': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,' + long_number))
        ),
        'a limit of 5,000 digits': edge.HttpResponse(
            200, (*sealed, (b'server-limit', long_number))
        ),
        'an absurd pace': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8,999999999'))
        ),
        'a load of five figures': edge.HttpResponse(
            200, (*sealed, (b'server-load', b'3,1,8,100,1'))
        ),
    }
    dialect = platform.PlatformDialect()
    context.reply = dialect.read_reply(responses[what], 'abc')


ACCENTED_ID = 'caf\xe9'


@when('a runner {does} a request whose id has an accent')
def answer_accented(context: Any, does: str) -> None:
    """Read a response that returns the id's bytes as they were sent."""
    named = (b'request-id', ACCENTED_ID.encode('latin-1'))
    response = edge.HttpResponse(200, (named, (b'response-seal', b's')))
    if does == 'refuses':
        response = edge.HttpResponse(503, (named, (b'not-executed', b'1')))
    dialect = platform.PlatformDialect()
    context.reply = dialect.read_reply(response, ACCENTED_ID)


@then('it is read as {meaning}')
def check_reply(context: Any, meaning: str) -> None:
    """Compare the reading."""
    reply = context.reply
    if meaning == 'load':
        assert (reply.load.running, reply.load.queued) == (3, 1)
    elif meaning in ('a pace of 1.5', 'load, no pace'):
        assert (reply.load.running, reply.load.queued) == (3, 1)
        expected = 1.5 if meaning == 'a pace of 1.5' else None
        assert reply.load.pace == expected
    elif meaning == 'no load':
        assert reply.load is None
    elif meaning == '1.5 a second':
        assert reply.limit_per_s == 1.5
    elif meaning in ('leaving', 'staying'):
        assert reply.is_leaving == (meaning == 'leaving')
    elif meaning in ('a pause', 'no pause'):
        assert reply.pause_s == (1.5 if meaning == 'a pause' else None)
    elif meaning == 'no limit':
        assert reply.limit_per_s is None
    elif meaning == 'not run':
        assert reply.is_not_run
    else:
        assert reply.is_authentic == (meaning == 'own')
        assert not reply.is_not_run


@when('a runner answers for three pieces')
def answer_pieces(context: Any) -> None:
    """Keep the answer."""
    items = [{'handle': 'a/1'}, {'reason': 'room'}, {'reason': 'odd'}]
    body = json.dumps({'items': items}).encode()
    context.reply = edge.HttpResponse(200, (), body)


@then('each has its handle or reason, and two answers for three are refused')
def check_pieces(context: Any) -> None:
    """Read the answer."""
    dialect = platform.PlatformDialect()
    found = dialect.read_stage_reply(context.reply, 3)
    assert [f.handle for f in found] == ['a/1', None, None]
    assert found[1].result == edge.PieceResult.STORAGE_FULL
    assert found[2].result == edge.PieceResult.ERROR
    try:
        dialect.read_stage_reply(context.reply, 2)
    except model.WireError:
        return
    raise AssertionError('a wrong number passed')


NAMES = re.compile(
    r'Deadline-Milliseconds|Expected-Instance|Prompt-Prefix|Token-Counts'
    r'|Not-Executed|Response-Seal|Server-Load|Piece-Key|kvCache|stage-run'
    r'|stage-free|api/objects|api/resolution|api/readiness'
    r'|RAGWORTWORKS_SETTINGS|pathPrefix|stickySessions|remainingMs'
    r'|storeRevision|targetLatencyMs|accessKeys|headroomMb',
    re.IGNORECASE,
)
DECIDING = re.compile(
    r'relay\.(admit|forecast|next_step|Attempts|RetryBudget|Batcher'
    r'|choose_\w+|retry_after_s|StageRun|PromptCacheIndex|timely_groups'
    r'|QueueWaits|time_after_stage_s)\b'
)


@then('no library holds a header, path or field of the platform')
def check_names(context: Any) -> None:
    """Search the libraries."""
    paths = sorted(pathlib.Path('libs').glob('*/ragwort_*/*.py'))
    assert len(paths) > 100
    for path in paths:
        found = NAMES.search(path.read_text())
        assert not found, (path, found)
    adapter = pathlib.Path('platform/ragwort_platform').glob('*.py')
    assert any(NAMES.search(path.read_text()) for path in adapter)


@then('the adapter uses no deciding function of the relay')
def check_decisions(context: Any) -> None:
    """Search the adapter."""
    paths = list(pathlib.Path('platform').glob('**/*.py'))
    assert paths
    for path in paths:
        found = DECIDING.search(path.read_text())
        assert not found, (path, found)
