"""Paths between machines that can be cut, and views of the store with them."""

import asyncio
import base64
import contextlib
import json

from platform_standins import Server, json_response


class Path(Server):
    """Relays connections to an address."""

    def __init__(self, target):
        super().__init__()
        host, _, port = target.rpartition(':')
        self._target = host, int(port)
        self._flows = asyncio.Event()
        self._flows.set()

    def cut(self):
        """Hold all bytes both ways, those of new connections too."""
        self._flows.clear()

    def heal(self):
        """Deliver what was held, unless its sender has reset since."""
        self._flows.set()

    def refuse(self):
        """Reset all connections and refuse new ones."""
        self.reset_all()

    async def accept_again(self):
        await self.listen(self.port)

    async def serve(self, reader, writer):
        await self._flows.wait()
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        self._connections.add(far_writer)
        copies = [
            asyncio.ensure_future(self._copy(reader, writer, far_writer)),
            asyncio.ensure_future(self._copy(far_reader, far_writer, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            await self._flows.wait()
        finally:
            for copy in copies:
                copy.cancel()
            self._connections.discard(far_writer)
            # Either end sees that the other one has ended or reset.
            far_writer.transport.abort()
            writer.transport.abort()

    async def _copy(self, reader, source, sink):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._flows.wait()
                if source.transport.is_closing():
                    return
                sink.write(data)
                await sink.drain()


class StoreView(Server):
    """The store as one machine sees it: addresses stand for paths to them."""

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.paths = {}

    async def answer(self, head, body, reader, writer):
        data = await self._store.answer(head, body, reader, writer)
        first, _, content = data.partition(b'\r\n\r\n')
        status = int(first.split(b' ')[1])
        return json_response(status, self._rewrite(json.loads(content)))

    def _rewrite(self, value):
        if isinstance(value, list):
            return [self._rewrite(one) for one in value]
        if not isinstance(value, dict):
            return value
        rewritten = {name: self._rewrite(one) for name, one in value.items()}
        if isinstance(rewritten.get('value'), str):
            text = base64.b64decode(rewritten['value']).decode()
            for address, path in self.paths.items():
                text = text.replace(f'"{address}"', f'"{path}"')
            rewritten['value'] = base64.b64encode(text.encode()).decode()
        return rewritten
