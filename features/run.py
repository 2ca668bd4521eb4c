"""Run all features and close with the line that CI reads."""

import sys

from behave import configuration
from behave import runner

from features import verdict
import ragwort_lab as lab

PATHS = ['features']


def main(arguments: list[str]) -> int:
    """Run behave and print how many scenarios passed and failed."""
    config = configuration.Configuration(arguments or PATHS)
    config.format = config.format or ['progress']
    run = runner.Runner(config)
    run.run()
    outcomes = [
        (scenario.name, scenario.status.name == 'passed')
        for feature in run.features
        for scenario in feature.walk_scenarios()
        if scenario.status.name != 'skipped'
    ]
    result = verdict.judge(outcomes, lab.load_known_red())
    for name in result.failed:
        print(f'failed, or passed against KNOWN-RED.txt: {name}')
    for name in result.known_red:
        print(f'known red: {name}')
    print(result.closing_line)
    return 0 if result.is_green else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
