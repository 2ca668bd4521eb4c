"""Steps of three stages in a row under a burst, in virtual time."""

from typing import Any

from behave import then
from behave import when

from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_relay as relay

HOSTS = 6
RUNNERS = 4
# A call costs 0.15 s, and 2.8 ms for each of up to 43 pieces.
LIMITS = relay.BatchLimits(43, 0.15, 0.0028, 1e9, 4.0)
PIECES = (8, 8, 8)
TARGET_S = 1.5
ROUTE_S = 5.0
CALM_PER_S = 30
CALM_S = 0.5
BURST_S = 3.0
# What a main call takes: its start is in time if the answer is.
MAIN_S = 0.05


def play(per_s: int, seed: int, has_call_times: bool) -> float:
    """Return the share of the burst's requests answered within the target."""
    world = lab.RelayWorld(HOSTS, seed)
    for runner in world.add_scripted('main', 8):
        runner.work_s = MAIN_S
    services = {f'stage-{index}': LIMITS for index in range(len(PIECES))}
    for service in services:
        world.add_stage_runners(service, LIMITS, RUNNERS)
    route = relay_decision_steps.make_route(
        stages=tuple(
            relay.StageSpec(service, (index - 1,) if index else (), 1000.0)
            for index, service in enumerate(services)
        ),
        kind=relay.CallKind.ONCE,
        attempts=1,
        timeout_s=ROUTE_S,
        target_s=TARGET_S,
    )
    world.configure(
        relay_decision_steps.make_configuration([route], **services)
    )
    if not has_call_times:
        for host in world.hosts:
            waits: Any = host.stages.waits
            waits.call_s = lambda service, now: 0.0
    send(world, route, CALM_PER_S, CALM_S)
    burst = send(world, route, per_s, BURST_S)
    world.run(ROUTE_S)
    in_time = [
        exchange
        for sent_at, exchange in burst
        if exchange.status == 200 and exchange.ended_at <= sent_at + TARGET_S
    ]
    return len(in_time) / len(burst)


def send(
    world: lab.RelayWorld, route: Any, per_s: int, seconds: float
) -> list[Any]:
    """Send requests at chance moments to all hosts in turn."""
    sent = []
    until = world.clock.seconds() + seconds
    while world.clock.seconds() < until:
        facts = edge.RequestMetadata(
            f'request-{world.rng.getrandbits(40)}',
            ROUTE_S,
            pieces=PIECES,
            piece_key='key',
        )
        host = world.hosts[len(sent) % len(world.hosts)]
        sent_at = world.clock.seconds()
        sent.append((sent_at, world.submit(host, route, facts)))
        world.run(world.rng.expovariate(per_s))
    return sent


@when(
    '{per_s:d} requests a second ask for three stages in a row, luck {seed:d}'
)
def play_both(context: Any, per_s: int, seed: int) -> None:
    """Play the burst with the rule in force and with the one before it."""
    context.share = play(per_s, seed, has_call_times=True)
    context.earlier_share = play(per_s, seed, has_call_times=False)


@then('at least {share:g} of those in the burst begin their main call in time')
def check_share(context: Any, share: float) -> None:
    """Compare with the share that the services can make."""
    assert context.share >= share, (context.share, context.earlier_share)


@then('that is at least as many as with the time of their own pieces')
def check_gain(context: Any) -> None:
    """Compare with the earlier rule in the same load."""
    assert context.share >= context.earlier_share, (
        context.share,
        context.earlier_share,
    )


@when('an owner whose runners are idle tells its queueing times')
def tell_idle(context: Any) -> None:
    """Ask a batcher with idle runners that has made full calls before."""
    world = lab.RelayWorld(1)
    world.add_stage_runners('stage-0', LIMITS, 1)
    batcher = relay.Batcher(LIMITS)
    batcher.recent_size = float(LIMITS.max_pieces)
    runners = world.hosts[0].catalog.fleet.usable('stage-0', 0.0)
    context.wait = batcher.queue_wait(runners, 0.0)


@then('a call takes no longer than its pieces')
def check_idle(context: Any) -> None:
    """Look at what the owner tells."""
    assert context.wait.call_s == 0.0, context.wait
