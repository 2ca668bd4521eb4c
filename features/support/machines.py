"""The state machines of the model checks, by name."""

import hypothesis
from hypothesis import settings
from hypothesis import stateful

from features.support import adversary
from features.support import runner_starts
from features.support import store_restores

MACHINES: dict[str, type[stateful.RuleBasedStateMachine]] = {
    'claim ledger': adversary.LedgerMachine,
    'lease': adversary.LeaseMachine,
    'configuration replica': adversary.ReplicaMachine,
    'membership': adversary.MembershipMachine,
    'watcher of a restored store': store_restores.WatcherMachine,
    'claim ledger of a restored store': store_restores.RestoredLedgerMachine,
    'lease of a restored store': store_restores.RestoredLeaseMachine,
    'starts of runners': runner_starts.RunnerStartsMachine,
}
# Restores multiply the runs to explore.
EXAMPLES = {
    'claim ledger of a restored store': 600,
    'lease of a restored store': 600,
    'starts of runners': 400,
}
DEFAULT_EXAMPLES = 150


def check_machine(name: str) -> None:
    """Search for a run that breaks a machine's invariants."""
    chosen = settings(
        max_examples=EXAMPLES.get(name, DEFAULT_EXAMPLES),
        stateful_step_count=60,
        deadline=None,
        derandomize=True,
        phases=(hypothesis.Phase.generate,),
    )
    stateful.run_state_machine_as_test(MACHINES[name], settings=chosen)
