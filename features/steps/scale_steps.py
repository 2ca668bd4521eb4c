"""Steps of the control plane's bounds."""

from typing import Any

from behave import then
from behave import when

import ragwort_lab as lab

PREPARE = {
    'undisturbed': lambda world: world,
    'with all but one watcher dead': lab.without_watchers,
    'with one message in ten lost': lab.with_loss,
    'with the answers to watches lost': lab.with_lost_watches,
}


@when('{count:d} nodes start at the same moment')
def start_together(context: Any, count: int) -> None:
    """Measure how long it takes until all are listed by all."""
    context.listed_s = lab.cold_start_s(count)


@then('each lists all of them within {bound:d} s')
def check_listed(context: Any, bound: int) -> None:
    """Check the time."""
    assert context.listed_s <= bound, context.listed_s


@when('a target is changed among {count:d} nodes, {case}')
def change_target(context: Any, count: int, case: str) -> None:
    """Measure how long a change takes."""
    context.spread_s = lab.spread_s(PREPARE[case](lab.scale_world(count)))


@then('it is in force on every living node within {bound:d} s')
def check_spread(context: Any, bound: int) -> None:
    """Check the time."""
    assert context.spread_s <= bound, context.spread_s


@when('{count:d} settled nodes are idle for 20 s')
def idle(context: Any, count: int) -> None:
    """Measure idle nodes."""
    context.control = lab.measure_control(count)


@then('each sends at most {bound:d} bytes a second')
def check_bytes(context: Any, bound: int) -> None:
    """Check the bytes of the average node."""
    assert 0 < context.control.bytes_per_s <= bound, context.control


@then('the store sees at most {bound:d} writes a second')
def check_writes(context: Any, bound: int) -> None:
    """Check the writes of all nodes."""
    assert context.control.store_writes_per_s <= bound, context.control


@when('claims arrive at 100 and at 800 a second, on 4 and on 16 nodes')
def send_claims(context: Any) -> None:
    """Run the ledger at two rates and two sizes."""
    context.ledgers = {
        (nodes, rate): lab.LedgerRun(nodes, rate).run()
        for nodes in (4, 16)
        for rate in (100, 800)
    }


@then('all are granted with at most {bound:d} writes a second')
def check_granted(context: Any, bound: int) -> None:
    """Check each run."""
    for figures in context.ledgers.values():
        assert figures.granted == figures.asked > 0, figures
        assert figures.writes_per_s <= bound, figures


@then('16 nodes write no more than 4 nodes by a tenth')
def check_flat(context: Any) -> None:
    """Compare sizes at the same rate."""
    for rate in (100, 800):
        few = context.ledgers[4, rate].writes_per_s
        assert context.ledgers[16, rate].writes_per_s <= 1.1 * few


@then('eight times the claims cost less than four times the writes')
def check_sublinear(context: Any) -> None:
    """Compare rates at the same size."""
    for nodes in (4, 16):
        low = context.ledgers[nodes, 100].writes_per_s
        assert context.ledgers[nodes, 800].writes_per_s < 4 * low
