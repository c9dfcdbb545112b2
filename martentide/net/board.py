"""The actor of the list: follows the notice board from the last number it has, over as many connections as
that takes. A connection without its frame each second is dead, whatever TCP says."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from martentide.codec import CodecError
from martentide.codec.board import LENGTH, Notice, frame_length, read_frame, write_number
from martentide.net.config import Address
from martentide.net.endings import LOG, Reason, log_ended

SILENCE = 2.2  # s without a frame after which the connection is dead
REDIAL_AFTER = (0.1, 0.4)  # s, drawn between the two


@dataclass(frozen=True, slots=True)
class FollowEnded:
    """The connection to the board is over, or none came up."""


class Board:
    def __init__(
        self,
        address: Address,
        last: int,
        zones: tuple[str, ...],
        connect_timeout: float,
        tell: Callable[[Notice], None],
    ) -> None:
        self.address, self.last, self.zones, self.tell = address, last, zones, tell
        self.connect_timeout = connect_timeout
        self.mailbox: asyncio.Queue[Notice | FollowEnded] = asyncio.Queue()
        self.following: asyncio.Task[None] | None = None

    async def run(self) -> None:
        self.following = asyncio.create_task(self._follow(self.last, 0.0), name="board")
        while True:
            item = await self.mailbox.get()
            if isinstance(item, FollowEnded):
                pause = random.uniform(*REDIAL_AFTER)
                self.following = asyncio.create_task(self._follow(self.last, pause), name="board")
            elif item.number > self.last:  # one that comes twice tells nothing new
                self.last = item.number
                self.tell(item)

    async def _follow(self, last: int, pause: float) -> None:
        """One connection, from its dial to its one log line."""
        await asyncio.sleep(pause)
        writer: asyncio.StreamWriter | None = None
        reason, detail = Reason.INTERNAL, ""
        try:
            async with asyncio.timeout(self.connect_timeout):
                reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
            writer.write(write_number(last))
            while True:
                async with asyncio.timeout(SILENCE):
                    head = await reader.readexactly(LENGTH.size)
                    body = await reader.readexactly(frame_length(head))
                notice = read_frame(body, self.zones)
                if notice is not None:
                    self.mailbox.put_nowait(notice)
        except TimeoutError:
            reason = Reason.DIAL_TIMEOUT if writer is None else Reason.SILENT
        except asyncio.IncompleteReadError as error:
            whole = not error.partial and error.expected == LENGTH.size
            reason = Reason.PEER_CLOSED if whole else Reason.TRUNCATED
        except CodecError as error:
            reason, detail = Reason.MALFORMED, str(error)
        except ConnectionRefusedError:
            reason = Reason.DIAL_REFUSED
        except ConnectionResetError:
            reason = Reason.PEER_RESET
        except OSError as error:
            reason, detail = (Reason.DIAL_ERROR if writer is None else Reason.IO_ERROR), str(error)
        except asyncio.CancelledError:
            reason = Reason.SHUTDOWN
            raise
        except Exception:
            LOG.exception("internal-error board")
        finally:
            if writer is not None:
                writer.close()
            log_ended("board", str(self.address), reason, detail)
            self.mailbox.put_nowait(FollowEnded())
