"""Exception hierarchy shared by all libraries."""


class RagwortError(Exception):
    """Base class of the project's exceptions."""


class InvalidInputError(RagwortError):
    """Raise when a caller, peer, runner or operator sent invalid data."""


class SettingsError(InvalidInputError):
    """Raise when a settings file does not match its schema."""


class ConfigurationError(InvalidInputError):
    """Raise when a configuration object is invalid."""


class WireError(InvalidInputError):
    """Raise when bytes from another process cannot be decoded."""


class UnknownMessageError(WireError):
    """Raise for a sound message of a type that this version does not know."""

    def __init__(self, number: int) -> None:
        """Keep the number of the message's frame."""
        super().__init__('frame has no message of a known type')
        self.number = number


class StoreError(RagwortError):
    """Base class of failures of the platform's object API."""


class StoreUnavailableError(StoreError):
    """Raise when the store did not answer; a write may have taken effect."""


class VersionConflictError(StoreError):
    """Raise when an object no longer has the expected version."""


class TargetConflictError(RagwortError):
    """Raise when two operators changed the same field of one object."""


class RequestError(RagwortError):
    """Raise in the client library when a request got no answer."""


class IncompleteAnswerError(RequestError):
    """Raise when a stream ended without an end record that matches it."""
