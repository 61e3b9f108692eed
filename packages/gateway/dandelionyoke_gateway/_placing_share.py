"""Which part of the prompts of all nodes this node decides on."""

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge

# A node that was asked this long ago or later places for its domain.
ASKED_LIFETIME_S = 1.0


class PlacingShare:
    """Tells a node that places for its domain from one that decides alone.

    Placing nodes tell one another what they have in flight. A node that decides
    alone, because the placing node is silent, is told nothing: if each such
    node took the whole window, the engines would get it many times over.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._asked_s = NEVER_S

    def mark_asked(self) -> None:
        """Record that another node asked for an engine."""
        self._asked_s = clock_s()

    @property
    def share(self) -> float:
        """1 for a placing node, else one node's part of the fleet."""
        now_s, knowledge = clock_s(), self._knowledge
        is_placing = now_s - self._asked_s < ASKED_LIFETIME_S
        if is_placing or knowledge.sources.is_source(now_s):
            return 1.0
        known_nodes = 1 + len(knowledge.sources.others())
        return 1 / max(knowledge.node_count, known_nodes)
