"""Steps of runners whose answers say that they leave."""

from typing import Any

from behave import then
from behave import when

from features.support import relay_hosts
import ragwort_model as model
import ragwort_wire as wire

WARM_S = 2.0
# Time in which all hosts have heard of it, and for which it must hold.
HEARD_S = 1.0
WATCHED_S = 10.0
# Ages and starts that a message of a peer names.
STRANGE_NEWS = {
    'that is nan s old': (1, float('nan')),
    'that is 1e9 s old': (1, 1e9),
    'of start -5': (-5, 0.0),
    'of an earlier start': (1, 0.0),
}
ASKED_START = 7


def find_runner(context: Any, name: str) -> Any:
    """Return a runner of the world."""
    (found,) = (r for r in context.world.runners if r.name == name)
    return found


@when('callers send {per_s:d} requests a second')
def send_evenly(context: Any, per_s: int) -> None:
    """Ask all hosts in turn until every runner is known."""
    context.asks = relay_hosts.SteadyCallers(context.world, per_s)
    context.asks.run(WARM_S)


@when('the answers of runner "{name}" say it leaves, and its entry {then_it}')
def begin_leaving(context: Any, name: str, then_it: str) -> None:
    """Let the runner leave, and its entry say something else."""
    world, runner = context.world, find_runner(context, name)
    copy = world.objects.copy()
    before = len(runner.arrivals)
    runner.is_leaving = True
    while len(runner.arrivals) == before:
        context.asks.run(context.asks.gap_s)
    context.told_at = runner.arrivals[-1].at
    context.asks.run(HEARD_S / 2)
    if then_it == 'is written again as live':
        world.set_runner(runner, 'live')
    elif then_it == 'says so, then is live again':
        world.set_runner(runner, 'leaving')
        context.asks.run(HEARD_S / 4)
        world.set_runner(runner, 'live')
    elif then_it == 'is removed and written again':
        world.remove_runner(name)
        context.asks.run(HEARD_S / 4)
        world.set_runner(runner, 'live')
    elif then_it == 'comes from an older copy':
        world.objects.restore(copy)
        context.asks.run(HEARD_S)
        world.set_runner(runner, 'live')
    context.asks.run(WATCHED_S)


@then(
    'runner "{name}" gets nothing from {seconds:g} s after its first such'
    ' answer on'
)
def check_nothing(context: Any, name: str, seconds: float) -> None:
    """Look at what reached the runner."""
    runner = find_runner(context, name)
    since = context.told_at + seconds
    late = [a.at - context.told_at for a in runner.arrivals if a.at > since]
    assert not late, late
    assert context.world.clock.seconds() > since + WATCHED_S / 2


@then('no caller was refused')
def check_served(context: Any) -> None:
    """Look at all answers."""
    context.world.run(HEARD_S)
    statuses = {asked.status for asked in context.asks.exchanges}
    assert statuses == {200}, statuses


@then('no host has sent to runner "{name}" more than {most} since its start')
def check_few(context: Any, name: str, most: str) -> None:
    """Count what each host that started later has sent."""
    assert most == 'twice'
    runner = find_runner(context, name)
    late = [a for a in runner.arrivals if a.at > context.told_at + HEARD_S]
    assert len(late) <= 2 * len(context.world.hosts), len(late)


@when('runner "{name}" starts again under its name')
def start_again(context: Any, name: str) -> None:
    """Write the entry of a new incarnation."""
    runner = find_runner(context, name)
    runner.is_leaving = False
    context.world.set_runner(runner, 'live', born=ASKED_START)


@when(
    'a peer tells host {index:d} of a leaving runner "{name}" whose entry'
    ' names no start'
)
def tell_leaving(context: Any, index: int, name: str) -> None:
    """Deliver news of a runner that is known by its name alone."""
    news = model.LeavingRunner(f'runner/{name}', 0, 0.1)
    data = wire.encode_peer('10.0.1.1:84', model.RunnersLeaving([news]))
    context.world.hosts[index]._on_frame(wire.decode_peer(data))


@when('a peer tells host {index:d} of a leaving runner "{name}" {what}')
def tell_strange(context: Any, index: int, name: str, what: str) -> None:
    """Deliver a message as a damaged or late peer might send it."""
    world = context.world
    world.set_runner(find_runner(context, name), 'live', born=ASKED_START)
    world.run(HEARD_S)
    started_ms, age_s = STRANGE_NEWS[what]
    news = model.LeavingRunner(f'runner/{name}', started_ms, age_s)
    data = wire.encode_peer('10.0.1.1:84', model.RunnersLeaving([news]))
    world.hosts[index]._on_frame(wire.decode_peer(data))
