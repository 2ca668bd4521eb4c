"""Steps of the evacuation of failure domains."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import evacuations
from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_model as model

# Longest time of a refusal at once, as a caller sees it.
AT_ONCE_S = 0.05
LAST_S = 3.0


@given('{count:d} hosts that honour evacuations')
def start_hosts(context: Any, count: int) -> None:
    """Start hosts with runners in three domains."""
    context.world = evacuations.EvacuationWorld(count)
    context.written_at = {}
    context.ended_at = {}


@given('{count:d} hosts that honour no evacuations')
def start_disabled(context: Any, count: int) -> None:
    """Start hosts whose settings don't enable evacuations."""
    context.world = evacuations.EvacuationWorld(count, is_enabled=False)
    context.written_at = {}


@given('streams take {seconds:g} s')
def slow_streams(context: Any, seconds: float) -> None:
    """Let streams send events for some seconds."""
    for runner in context.world.runners:
        runner.events = round(seconds / runner.event_gap_s)


@when('callers ask for {seconds:g} s')
def ask(context: Any, seconds: float) -> None:
    """Ask all hosts in turn."""
    context.world.send(seconds)


@when('the operator evacuates "{domain}"')
def evacuate(context: Any, domain: str) -> None:
    """Write the object."""
    context.written_at[domain] = context.world.clock.seconds()
    context.world.evacuate(domain)


@when('the operator writes "{content}" as the evacuation of "{domain}"')
def evacuate_with(context: Any, content: str, domain: str) -> None:
    """Write the object with some content."""
    context.written_at[domain] = context.world.clock.seconds()
    context.world.evacuate(domain, content)


@when('the operator evacuates "{domain}" again')
def evacuate_again(context: Any, domain: str) -> None:
    """Write the object anew; the time of the first write counts."""
    context.world.evacuate(domain)


@when('the operator evacuates all domains')
def evacuate_all(context: Any) -> None:
    """Write an object for each domain."""
    for domain in relay_hosts.DOMAINS:
        evacuate(context, domain)


@when('the operator ends the evacuation of "{domain}"')
def end(context: Any, domain: str) -> None:
    """Delete the object."""
    context.ended_at[domain] = context.world.clock.seconds()
    context.world.end_evacuation(domain)


@when(
    'the operator starts and ends the evacuation of "{domain}" {count:d} times'
)
def toggle(context: Any, domain: str, count: int) -> None:
    """Write and delete the object in quick succession."""
    for _ in range(count):
        context.world.evacuate(domain)
        context.world.run(0.13)
        context.world.end_evacuation(domain)
        context.world.run(0.07)


@then('nothing has reached "{domain}" from {seconds:g} s after the write on')
def check_nothing(context: Any, domain: str, seconds: float) -> None:
    """Look at all that reached the domain's runners."""
    since = context.written_at[domain] + seconds
    found = context.world.arrivals(domain, since)
    assert not found, (since, found[:5], len(found))


@then(
    'nothing has reached "{domain}" from {seconds:g} s after the write'
    ' until its end'
)
def check_nothing_until(context: Any, domain: str, seconds: float) -> None:
    """Look at what reached the runners while the evacuation was in force."""
    since = context.written_at[domain] + seconds
    found = context.world.arrivals(domain, since, context.ended_at[domain])
    assert not found, (since, found[:5])
    assert context.ended_at[domain] > since


@then('every caller got a whole answer')
def check_whole(context: Any) -> None:
    """Wait for the last answers and compare the status."""
    context.world.run(LAST_S)
    exchanges = context.world.exchanges
    assert exchanges
    bad = [
        (e.request.target, e.status, e.body)
        for e in exchanges
        if e.status != 200 or not e.is_whole
    ]
    assert not bad, (len(bad), len(exchanges), bad[:5])


@when('a caller opens a stream that runs in "{domain}"')
def open_stream(context: Any, domain: str) -> None:
    """Ask until a stream runs in the domain."""
    world = context.world
    for index in range(40):
        context.stream = world.ask_once(index % len(world.hosts), 'stream')
        world.run(0.1)
        runners = _runners_of(context)
        if [runner.domain for runner in runners] == [domain]:
            return
    raise AssertionError('no stream in the domain')


def _runners_of(context: Any) -> list[lab.ScriptedRunner]:
    """Return the runners that the stream's request reached, in order."""
    target = context.stream.request.target
    found = [
        (arrival.at, runner)
        for runner in context.world.runners
        for arrival in runner.arrivals
        if arrival.request.target == target
    ]
    return [runner for _, runner in sorted(found, key=lambda item: item[0])]


@then('the stream is whole and ran at one runner alone')
def check_stream(context: Any) -> None:
    """Compare where the stream ran."""
    assert context.stream.is_whole, context.stream.body
    assert len(_runners_of(context)) == 1


@when('the runners of "{domain}" crash')
def crash(context: Any, domain: str) -> None:
    """Break all calls there; the runners take new ones."""
    for runner in context.world.runners:
        if runner.domain == domain:
            runner.crash()


@then('the stream is whole and ended outside "{domain}"')
def check_moved(context: Any, domain: str) -> None:
    """Compare where the stream ended."""
    assert context.stream.is_whole, context.stream.body
    assert _runners_of(context)[-1].domain != domain


@when('a burst of {count:d} staged requests comes')
def burst(context: Any, count: int) -> None:
    """Send many requests with stages at once."""
    world = context.world
    for index in range(count):
        exchange = world.ask_once(index % len(world.hosts), 'staged')
        world.exchanges.append(exchange)
    world.run(0.02)


@when('the entry of the stage runner in "{domain}" is removed')
def remove_stage_runner(context: Any, domain: str) -> None:
    """Remove the entry of a runner that goes on serving."""
    context.world.remove_runner(f'prep-{domain}')


@when('results there are released')
def release(context: Any) -> None:
    """Let a host release results at the runner without an entry."""
    owner = context.world.hosts[0].stages.local_owner
    (runner,) = (r for r in context.world.stage_runners if r.domain == 'north')
    owner.queue_release([(f'{runner.address}/1', 0)])
    context.world.run(1.0)


@when('all hosts restart while callers ask for {seconds:g} s')
def restart_all(context: Any, seconds: float) -> None:
    """Replace all processes at once."""
    for index in range(len(context.world.hosts)):
        context.world.restart(index)
    context.world.send(seconds)


@when('host {index:d} restarts')
def restart(context: Any, index: int) -> None:
    """Replace one process."""
    objects = context.world.objects
    context.lists_before = objects.calls_of[LIST_KEY]
    context.world.restart(index)


LIST_KEY = (model.StoreVerb.LIST, 'evacuations')


@then('host {index:d} has listed "evacuations" once')
def check_lists(context: Any, index: int) -> None:
    """Count the lists since the restart."""
    lists = context.world.objects.calls_of[LIST_KEY] - context.lists_before
    assert lists == 1, lists


@when('the store turns host {index:d} away')
def turn_away(context: Any, index: int) -> None:
    """Let the store answer nothing to one host."""
    context.world.turn_away(index)


@when('the store turns every host away')
def turn_all_away(context: Any) -> None:
    """Let the store answer nothing, also to hosts that start later."""
    context.world.objects.is_away = True
    for index in range(len(context.world.hosts)):
        context.world.turn_away(index)


@when('the store is copied')
def copy_store(context: Any) -> None:
    """Keep the store as it is now."""
    context.copy = context.world.objects.copy()


@when('the store fails for "{kind}"')
def fail_kind(context: Any, kind: str) -> None:
    """Let calls for one kind of objects fail."""
    context.world.objects.failing = {kind: model.StoreStatus.UNAVAILABLE}


@when('the store answers 404 for lists of "{kind}"')
def lack_kind(context: Any, kind: str) -> None:
    """Let calls for one kind of objects find nothing."""
    context.world.objects.failing = {kind: model.StoreStatus.NOT_FOUND}


@when('the store fails for nothing')
def fail_nothing(context: Any) -> None:
    """Let all calls succeed."""
    context.world.objects.failing = {}


@then('host {index:d} is ready')
def check_ready(context: Any, index: int) -> None:
    """Look at the readiness."""
    assert context.world.hosts[index].is_ready


@then('every host has sent to "{domain}" in the last {seconds:g} s')
def check_used(context: Any, domain: str, seconds: float) -> None:
    """Ask each host until the domain must have got a share."""
    world = context.world
    since = world.clock.seconds() - seconds
    assert world.arrivals(domain, since)
    for index in range(len(world.hosts)):
        before = world.clock.seconds()
        for _ in range(16):
            world.ask_once(index, 'open')
        world.run(0.5)
        assert world.arrivals(domain, before), index


@then(
    'every host knows within {seconds:g} s that the evacuation of "{domain}"'
    ' ended'
)
def check_end_known(context: Any, seconds: float, domain: str) -> None:
    """Compare the times that hosts report."""
    ended_at = context.ended_at[domain]
    for host in context.world.hosts:
        known = host.catalog.evacuations.ended_at(domain)
        assert known is not None
        assert ended_at <= known <= ended_at + seconds, (ended_at, known)


@then('the gauge of evacuated domains is {count:d} on every host')
def check_gauge(context: Any, count: int) -> None:
    """Read the metric."""
    line = f'ragwort_evacuated_domains {float(count)}'
    for host in context.world.hosts:
        assert line in host.metrics.text().decode().splitlines()


@then('every caller was refused at once and told when to come back')
def check_refused(context: Any) -> None:
    """Compare status, time and header."""
    exchanges = context.world.exchanges
    assert exchanges
    for exchange in exchanges:
        assert exchange.status == 503, exchange.status
        assert exchange.ended_at - exchange.started_at <= AT_ONCE_S
        value = edge.find_header(exchange.headers, b'retry-after')
        assert value is not None and float(value) >= 1.0, value


@then('the refusals are counted')
def check_counted(context: Any) -> None:
    """Compare the counters with what callers got."""
    counted = sum(
        sample.value
        for host in context.world.hosts
        for metric in host.metrics.evacuation_refusals.collect()
        for sample in metric.samples
        if sample.name.endswith('_total')
    )
    assert counted == len(context.world.exchanges), counted


@then('no caller waits any longer')
def check_ended(context: Any) -> None:
    """Look for open requests."""
    waiting = [e for e in context.world.exchanges if not e.is_over]
    assert not waiting, len(waiting)


@then('no caller got a broken answer')
def check_unbroken(context: Any) -> None:
    """Compare the status of what was not answered as a whole."""
    for exchange in context.world.exchanges:
        is_refused = exchange.status == 503
        is_answered = exchange.status == 200 and exchange.is_whole
        assert is_refused or is_answered, exchange.status


class _LogLines:
    """Keeps the log lines of one host."""

    def __init__(self) -> None:
        """Start with no line."""
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def warning(self, event: str, **fields: Any) -> None:
        """Keep a line."""
        self.lines.append((event, fields))

    def of(self, domain: str) -> list[tuple[str, dict[str, Any]]]:
        """Return the lines on a domain."""
        return [line for line in self.lines if line[1]['domain'] == domain]


@when("the hosts' log lines on evacuations are kept")
def keep_lines(context: Any) -> None:
    """Replace the loggers of the part that logs them."""
    for host in context.world.hosts:
        host.evacuations.logger = _LogLines()


@then('each host has logged one start and one end of "{domain}"')
def check_lines(context: Any, domain: str) -> None:
    """Compare events, versions and ages."""
    for host in context.world.hosts:
        started, ended = host.evacuations.logger.of(domain)
        assert (started[0], ended[0]) == ('evacuation-start', 'evacuation-end')
        assert int(started[1]['version']) < int(ended[1]['version'])
        assert started[1]['age_s'] == 0.0
        assert 3.0 < ended[1]['age_s'] < 5.0, ended


@then(
    'host {index:d} names a peer as the source, the others the store or a peer'
)
def check_sources(context: Any, index: int) -> None:
    """Compare the sources."""
    for number, host in enumerate(context.world.hosts):
        sources = {f['source'] for _, f in host.evacuations.logger.lines[:1]}
        expected = {'peer'} if number == index else {'peer', 'evacuations/'}
        assert sources <= expected, (number, sources)


@then('each host has logged once that "{domain}" has no runners')
def check_unknown(context: Any, domain: str) -> None:
    """Count the lines."""
    for host in context.world.hosts:
        events = [event for event, _ in host.evacuations.logger.of(domain)]
        assert events.count('evacuation-without-runners') == 1, events


@when('host {index:d} loses its way to all runners')
def cut_off(context: Any, index: int) -> None:
    """Cut one host off from runners alone."""
    context.world.ways[index].cut_off(lab.CutManner.RESET)


@then('requests were handed over')
def check_hops(context: Any) -> None:
    """Count the hops that were served."""
    assert [h for h in context.world.hops if not h.is_declined]


@then('the store was never asked for "{kind}"')
def check_never_asked(context: Any, kind: str) -> None:
    """Count the calls."""
    calls = context.world.objects.calls_of
    assert not [key for key in calls if key[1] == kind]
