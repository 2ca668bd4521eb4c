"""What a relay host knows from the store: configuration and runners."""

from typing import Protocol

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _prompts
from ragwort_relay import _routes


class ObjectDecoder(Protocol):
    """Turns stored objects into the project's types.

    Each method raises ConfigurationError for content that can't be used.
    """

    def is_configuration(self, name: str) -> bool:
        """Tell whether the object holds the configuration."""

    def is_runner(self, name: str) -> bool:
        """Tell whether the object is a runner's entry."""

    def decode_configuration(self, value: str) -> _routes.RelayConfiguration:
        """Return the configuration."""

    def decode_runner(self, name: str, value: str) -> _fleet.RunnerEntry:
        """Return a runner's entry."""


class RelayCatalog:
    """The last valid configuration and the runners in the store.

    An object that can't be read leaves what was known in force; a runner's
    entry that can't be read names no runner to use.
    """

    def __init__(self, decoder: ObjectDecoder) -> None:
        """Start empty."""
        self.decoder = decoder
        self.configuration: _routes.RelayConfiguration | None = None
        self.fleet = _fleet.Fleet()
        self.prompt_cache = _prompts.PromptCacheIndex()
        self.problems: dict[str, str] = {}
        self.now = 0.0

    def apply(self, item: model.StoredObject) -> None:
        """Take a newer version of an object."""
        try:
            self._apply(item)
        except model.ConfigurationError as error:
            self.problems[item.name] = str(error)
            if self.decoder.is_runner(item.name):
                self.fleet.update(item.name, None, self.now)
        else:
            self.problems.pop(item.name, None)

    def _apply(self, item: model.StoredObject) -> None:
        if self.decoder.is_runner(item.name):
            entry = None
            if item.value is not None:
                entry = self.decoder.decode_runner(item.name, item.value)
            self.fleet.update(item.name, entry, self.now)
            if item.name not in self.fleet.runners:
                self.prompt_cache.remove(item.name)
        elif self.decoder.is_configuration(item.name):
            if item.value is not None:
                self.configuration = self.decoder.decode_configuration(
                    item.value
                )
