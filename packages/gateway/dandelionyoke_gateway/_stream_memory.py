"""The memory of what a stream holds between its target and its caller."""

from dandelionyoke_gateway._answer_memory import AnswerMemory

# Events of usual sizes are not counted.
MIN_COUNTED_BYTES = 16384


class StreamMemory:
    """The memory of an event that has begun and a part that is written.

    When others need it, the stream is ended whose last part is the oldest: its
    target or its caller is slow.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._held_bytes = 0

    def hold(self, count_bytes: int) -> None:
        """Count what is held now; wait while there is no memory for it.

        Raises:
            ExchangeTimeoutError: there was none until the call's deadline.
        """
        if count_bytes < max(self._held_bytes, MIN_COUNTED_BYTES):
            self.release()
        if count_bytes < MIN_COUNTED_BYTES:
            return
        self._memory.stop_writing()
        self._memory.take(count_bytes - self._held_bytes)
        self._held_bytes = count_bytes
        # Each part makes it the last one to be ended.
        self._memory.begin_writing()

    def release(self) -> None:
        """Release the memory; the stream may go on."""
        if self._held_bytes:
            self._memory.release()
            self._held_bytes = 0
