"""Where a call's answer waits for the task that owns its connection."""

from eventlet import queue

from dandelionyoke_core import Action, RequestId


class Mailboxes:
    """One queue for each open call."""

    def __init__(self) -> None:
        self._boxes: dict[RequestId, queue.LightQueue] = {}

    def open(self, request_id: RequestId) -> queue.LightQueue:
        """Make the queue of a new call."""
        box = queue.LightQueue()
        self._boxes[request_id] = box
        return box

    def close(self, request_id: RequestId) -> None:
        """Forget a call; later answers to it are dropped."""
        self._boxes.pop(request_id, None)

    def deliver(self, request_id: RequestId, action: Action) -> None:
        """Put an action where the call's task waits for it."""
        box = self._boxes.get(request_id)
        if box is not None:
            box.put(action)

    def __len__(self) -> int:
        return len(self._boxes)
