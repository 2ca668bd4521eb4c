"""Exception tree shared by all libraries."""


class RagwortError(Exception):
    """Base of every error that the project raises on purpose."""


class InvalidInputError(RagwortError):
    """Raise when a caller, peer, runner or operator sent unusable data."""


class SettingsError(InvalidInputError):
    """Raise when a settings file does not fit its schema."""


class ConfigurationError(InvalidInputError):
    """Raise when a configuration object is not valid."""


class WireError(InvalidInputError):
    """Raise when bytes from another process cannot be decoded."""


class StoreError(RagwortError):
    """Base of the failures of the platform's object API."""


class StoreUnavailableError(StoreError):
    """Raise when the store did not answer; the change may have been made."""


class VersionConflictError(StoreError):
    """Raise when an object no longer has the expected version."""


class TargetConflictError(RagwortError):
    """Raise when two operators changed the same field of one object."""


class RequestError(RagwortError):
    """Raise in the callers' library when a request brought no answer."""


class IncompleteAnswerError(RequestError):
    """Raise when a stream ended without its matching end record."""
