"""Applies configurations from the store or from another node."""

import zlib

from dandelionyoke_core import era_of, number_of
from dandelionyoke_dispatch import ConfigurationError
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Dialect


class ConfigurationUpdater:
    """Applies the newest configuration and never an older one."""

    def __init__(
        self, knowledge: Knowledge, dialect: Dialect, log: DecisionLog
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._log = log

    def apply(self, text: str, revision: int, source: str) -> None:
        """Apply a configuration if it is newer than the current one."""
        knowledge = self._knowledge
        if revision <= knowledge.configuration_revision:
            return
        knowledge.configuration_revision = revision
        knowledge.signal.notify()
        try:
            configuration = self._dialect.read_configuration(text)
        except ConfigurationError as error:
            knowledge.configuration_packed = zlib.compress(text.encode())
            self._log.decide(
                'configuration.unreadable',
                str(revision),
                outcome='kept old',
                cause=str(error),
                source=source,
            )
            return
        current = knowledge.configuration
        if current is not None and configuration.version <= current.version:
            # A store that came back from a copy may hold an older one.
            if configuration.version < current.version:
                self._log.decide(
                    'configuration.outdated',
                    str(configuration.version),
                    outcome='kept newer',
                    revision=number_of(revision),
                    era=era_of(revision),
                    in_force=current.version,
                    source=source,
                )
            return
        knowledge.configuration_packed = zlib.compress(text.encode())
        knowledge.configuration = configuration
        knowledge.limiter.take_limits(configuration.rate_limits)
        self._log.decide(
            'configuration.adopted',
            str(configuration.version),
            outcome='in force',
            revision=number_of(revision),
            era=era_of(revision),
            routes=len(configuration.routes),
            source=source,
        )

    def apply_compressed(
        self, packed: bytes, revision: int, source: str
    ) -> None:
        """Apply a compressed configuration that another node sent."""
        try:
            text = zlib.decompress(packed).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            self._log.decide(
                'configuration.unreadable',
                str(revision),
                outcome='kept old',
                cause=str(error),
                source=source,
            )
            return
        self.apply(text, revision, source)

    def confirm(self, revision: int, confirmed_s: float) -> bool:
        """Record that a revision was the newest at the time `confirmed_s`.

        Return False and record nothing if this node has another revision:
        the proof says nothing about an older one.
        """
        if revision != self._knowledge.configuration_revision:
            return False
        self._knowledge.freshness.confirm(confirmed_s)
        return True
