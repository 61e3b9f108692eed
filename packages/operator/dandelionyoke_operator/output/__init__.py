"""Writers of reports and errors, as text or JSON."""

from dandelionyoke_operator.output._json import json_writer as json_writer
from dandelionyoke_operator.output._text import text_writer as text_writer
from dandelionyoke_operator.output._writer import Writer as Writer
