"""Decisions and status in words that a newcomer understands."""

from typing import Any

KIND_WORDS = {
    'admission': 'Admission',
    'claim': 'Claim in the store',
    'routing': 'Routing',
    'retry': 'Retry',
    'hedge': 'Second call',
    'outcome': 'Outcome',
}
RULE_WORDS = {
    'admitted': 'the node took the request',
    'granted': 'this node alone may dispatch it',
    'taken': 'another submission holds the key, on',
    'unresolved': 'the store did not confirm the claim in time',
    'fastest': 'the shortest expected time among the runners weighed',
    'cheapest-in-time': 'the cheapest runner that is expected to be in time',
    'cache-affinity': 'the runner that likely has the prompt cached',
    'probe': 'a trial request for a runner that was taken out',
    'same-runner-new-connection': (
        'the same runner again, since the connection may be at fault'
    ),
    'retry': 'the call failed and may be repeated',
    'slow-attempt': 'the call is slow and the class is below its target',
    'completed': 'the whole answer was delivered',
    'not_run': 'nothing of it was run',
    'failed': 'it failed, and nothing ran that may not be repeated',
    'unknown': 'a call that may not be repeated was sent without a result',
}


def explain_lines(decisions: list[dict[str, Any]]) -> list[str]:
    """Return one paragraph for each decision on a request."""
    if not decisions:
        return ['nothing was decided on it yet']
    start = decisions[0]['at']
    lines: list[str] = []
    for decision in decisions:
        lines += _decision_lines(decision, start)
    return lines


def _decision_lines(decision: dict[str, Any], start: float) -> list[str]:
    elapsed_ms = (decision['at'] - start) * 1000
    kind = KIND_WORDS.get(decision['kind'], decision['kind'])
    rule = RULE_WORDS.get(decision['rule'], decision['rule'])
    line = f'{elapsed_ms:8.1f} ms  {kind}: {rule}'
    if decision['chosen']:
        line += f' -> {decision["chosen"]}'
    if decision['detail']:
        line += f' ({decision["detail"]})'
    lines = [line]
    if decision['estimate_s'] is not None:
        estimate_ms = decision['estimate_s'] * 1000
        lines.append(f'{"":13}time expected or allowed: {estimate_ms:.0f} ms')
    for candidate in decision['candidates']:
        lines.append(
            f'{"":13}weighed {candidate["runner"]}: '
            f'{candidate["expected_s"] * 1000:.1f} ms, '
            f'cost {candidate["cost"]:.4f}, '
            f'{candidate["inflight"]} calls of this node there'
        )
    return lines


def missed_targets(statuses: list[dict[str, Any]]) -> list[str]:
    """Return a line for each class below its target, with the stage."""
    totals: dict[str, list[float]] = {}
    targets: dict[str, dict[str, float]] = {}
    busiest: dict[str, dict[str, float]] = {}
    for status in statuses:
        for item in status.get('classes', []):
            counts = totals.setdefault(item['name'], [0, 0])
            counts[0] += item['ended']
            counts[1] += item['attained']
            targets[item['name']] = item['target']
            costs = busiest.setdefault(item['name'], {})
            for service, cost in item['stage_costs'].items():
                costs[service] = costs.get(service, 0.0) + cost
    lines: list[str] = []
    for name, (ended, attained) in sorted(totals.items()):
        share = attained / ended if ended else 1.0
        if share < targets[name]['attainment']:
            costs = busiest[name]
            stage = max(costs, key=lambda s: costs[s]) if costs else 'none'
            lines.append(
                f'{name}: {share:.3f} of {ended} in time, target '
                f'{targets[name]["attainment"]:.2f}; '
                f'most work is in stage {stage}'
            )
    return lines
