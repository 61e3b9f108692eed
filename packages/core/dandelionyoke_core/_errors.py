"""The exception tree. Each message names what is wrong and the remedy."""


class DandelionyokeError(Exception):
    """Base of all errors that dandelionyoke raises on purpose."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f'{problem}. {remedy}.')
        self.problem = problem
        self.remedy = remedy


class ConfigurationError(DandelionyokeError):
    """A configuration value is missing or wrong."""


class SettingsError(DandelionyokeError):
    """A setting of a process is missing or wrong."""


class CodecError(DandelionyokeError):
    """Bytes from outside are not a message of this system."""
