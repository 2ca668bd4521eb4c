"""Plain-text explanations of decisions and of missed targets."""

from typing import Any

KIND_LABELS = {
    'admission': 'Admission',
    'claim': 'Claim in the store',
    'routing': 'Routing',
    'retry': 'Retry',
    'hedge': 'Hedged call',
    'outcome': 'Outcome',
}
RULE_DESCRIPTIONS = {
    'admitted': 'the node admitted the request',
    'granted': 'only this node may dispatch the request',
    'taken': 'another submission already claimed the key',
    'unresolved': 'the store did not confirm the claim in time',
    'fastest': 'the shortest expected time among the candidates',
    'cheapest-in-time': 'the cheapest runner that should finish in time',
    'cache-affinity': 'the runner that likely has the prompt cached',
    'probe': 'a probe of a runner that was ejected',
    'same-runner-new-connection': (
        'the same runner again, as the old connection may be at fault'
    ),
    'retry': 'the call failed and may be repeated',
    'slow-attempt': 'the call is slow and the class is below its target',
    'completed': 'the whole answer was delivered',
    'not_run': 'no part of the request was run',
    'failed': 'the request failed; every call that ran may be repeated',
    'unknown': 'a call that may not be repeated was sent but got no result',
}


def explain_lines(decisions: list[dict[str, Any]]) -> list[str]:
    """Return the lines that explain the decisions on a request."""
    if not decisions:
        return ['no decision on this request yet']
    started_at = decisions[0]['at']
    lines: list[str] = []
    for decision in decisions:
        lines += _decision_lines(decision, started_at)
    return lines


def _decision_lines(decision: dict[str, Any], started_at: float) -> list[str]:
    elapsed_ms = (decision['at'] - started_at) * 1000
    kind = KIND_LABELS.get(decision['kind'], decision['kind'])
    rule = RULE_DESCRIPTIONS.get(decision['rule'], decision['rule'])
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
            f'{"":13}candidate {candidate["runner"]}: '
            f'{candidate["expected_s"] * 1000:.1f} ms, '
            f'cost {candidate["cost"]:.4f}, '
            f'{candidate["inflight"]} calls in flight from this node'
        )
    return lines


def missed_targets(statuses: list[dict[str, Any]]) -> list[str]:
    """Return a line with the costliest stage for each class below target."""
    totals: dict[str, list[float]] = {}
    targets: dict[str, dict[str, float]] = {}
    stage_costs: dict[str, dict[str, float]] = {}
    for status in statuses:
        for item in status.get('classes', []):
            counts = totals.setdefault(item['name'], [0, 0])
            counts[0] += item['ended']
            counts[1] += item['attained']
            targets[item['name']] = item['target']
            costs = stage_costs.setdefault(item['name'], {})
            for service, cost in item['stage_costs'].items():
                costs[service] = costs.get(service, 0.0) + cost
    lines: list[str] = []
    for name, (ended, attained) in sorted(totals.items()):
        share = attained / ended if ended else 1.0
        if share < targets[name]['attainment']:
            costs = stage_costs[name]
            stage = max(costs, key=lambda s: costs[s]) if costs else 'none'
            lines.append(
                f'{name}: {share:.3f} of {ended} in time, target '
                f'{targets[name]["attainment"]:.2f}; '
                f'the costliest stage is {stage}'
            )
    return lines
