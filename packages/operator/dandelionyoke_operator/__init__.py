"""Library for operators: typed objects that build and print a configuration."""

from dandelionyoke_core import (
    ApiKey as ApiKey,
    Model as Model,
    Organisation as Organisation,
    Service as Service,
    ServiceKind as ServiceKind,
)
from dandelionyoke_operator._configuration import (
    Configuration as Configuration,
)
from dandelionyoke_operator._ini import (
    parse_configuration as parse_configuration,
)
from dandelionyoke_operator._mistakes import (
    ConfigurationMistakes as ConfigurationMistakes,
    Mistake as Mistake,
)
