"""Exception classes; each message states the problem and the remedy."""


class DandelionyokeError(Exception):
    """Base class of the errors that dandelionyoke raises itself."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}. {remedy}.')
        self.problem = problem
        self.remedy = remedy


class ConfigurationError(DandelionyokeError):
    """Raised when a configuration value is missing or invalid."""


class SettingsError(DandelionyokeError):
    """Raised when a setting of a process is missing or invalid."""


class CodecError(DandelionyokeError):
    """Raised when received or stored data cannot be decoded."""
