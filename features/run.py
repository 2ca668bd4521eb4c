"""Run all features and close with the line that CI reads."""

import sys

from behave import configuration
from behave import runner

PATHS = ['features']


def main(arguments: list[str]) -> int:
    """Run behave and print how many scenarios passed and failed."""
    config = configuration.Configuration(arguments or PATHS)
    config.format = config.format or ['progress']
    run = runner.Runner(config)
    run.run()
    passed = failed = 0
    for feature in run.features:
        for scenario in feature.walk_scenarios():
            if scenario.status.name == 'passed':
                passed += 1
            elif scenario.status.name != 'skipped':
                failed += 1
                print(f'failed: {scenario.location} {scenario.name}')
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
