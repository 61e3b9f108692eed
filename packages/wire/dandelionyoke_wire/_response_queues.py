"""Queues of actions for the tasks that own caller connections."""

from eventlet import queue

from dandelionyoke_core import Action, RequestId


class ResponseQueues:
    """One queue for each call in flight."""

    def __init__(self) -> None:
        self._response_queues: dict[RequestId, queue.LightQueue] = {}

    def open(self, request_id: RequestId) -> queue.LightQueue:
        """Create the queue of a new call."""
        response_queue = queue.LightQueue()
        self._response_queues[request_id] = response_queue
        return response_queue

    def close(self, request_id: RequestId) -> None:
        """Remove the queue of a call; later actions for it are dropped."""
        self._response_queues.pop(request_id, None)

    def deliver(self, request_id: RequestId, action: Action) -> None:
        """Queue an action for the task of a call."""
        response_queue = self._response_queues.get(request_id)
        if response_queue is not None:
            response_queue.put(action)

    def __len__(self) -> int:
        return len(self._response_queues)
