"""Queues of actions for the tasks that own caller connections."""

from eventlet import queue

from dandelionyoke_core import Action, RequestId


class Mailboxes:
    """One queue for each call in flight."""

    def __init__(self) -> None:
        self._mailboxes: dict[RequestId, queue.LightQueue] = {}

    def open(self, request_id: RequestId) -> queue.LightQueue:
        """Create the queue of a new call."""
        mailbox = queue.LightQueue()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def close(self, request_id: RequestId) -> None:
        """Remove the queue of a call; later actions for it are dropped."""
        self._mailboxes.pop(request_id, None)

    def deliver(self, request_id: RequestId, action: Action) -> None:
        """Queue an action for the task of a call."""
        mailbox = self._mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put(action)

    def __len__(self) -> int:
        return len(self._mailboxes)
