"""The gRPC server of the external processor: both services on one listener, from start to shutdown."""

from __future__ import annotations

import asyncio
import gc
import sys
from typing import Any

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as ep

from martentide.codec.discovery import Listed
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.extproc.ledger import Stream
from martentide.interface import Settings
from martentide.net.dispatcher import Dispatcher
from martentide.net.close_reason import log_event
from martentide.net.extproc.decisions import Decisions
from martentide.net.extproc.envoy import ExternalProcessor as Envoy
from martentide.net.extproc.front import FrontActor, list_changed_event
from martentide.net.extproc.host import SharedState
from martentide.extras import ExternalProcessor

DECISIONS = "martentide.decisions.v1.Decisions"
EXT_PROC = "envoy.service.ext_proc.v3.ExternalProcessor"
KEEPALIVE_MS = 10_000  # idle time of a connection before a keepalive ping
KEEPALIVE_TIMEOUT_MS = 5_000  # for the ping's answer
SWITCH_INTERVAL_S = 0.0002  # the default is 5 ms
FLUSH_TIMEOUT_S = 0.5  # for the last verdicts to be sent at shutdown
RESTART_ONLY = ("listen", "services", "own_links", "streams")  # changes take effect after a restart


class ExternalProcessorServer:
    """The external processor's server; imported and created only if the extras file enables the mode."""

    def __init__(
        self, config: ExternalProcessor, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.config = config
        self.shared = SharedState(config, settings, dispatcher, seed)
        self.decisions, self.envoy = Decisions(self.shared), Envoy(self.shared)
        self.port = 0
        dispatcher.list_observers.append(self._list_changed)
        options = (
            ("grpc.max_receive_message_length", config.streams.most_message_bytes),
            ("grpc.max_concurrent_streams", config.streams.most_streams),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
            ("grpc.so_reuseport", 0),
        )
        self.server = grpc.aio.server(options=options)
        handlers: list[Any] = []
        if "decisions" in config.services:
            decide = grpc.stream_stream_rpc_method_handler(
                self.decisions.decide,
                request_deserializer=pb.FrontFrame.FromString,
                response_serializer=pb.ProxyFrame.SerializeToString,
            )
            handlers.append(grpc.method_handlers_generic_handler(DECISIONS, {"Decide": decide}))
        if "ext-proc" in config.services:
            process = grpc.stream_stream_rpc_method_handler(
                self.envoy.process,
                request_deserializer=ep.ProcessingRequest.FromString,
                response_serializer=ep.ProcessingResponse.SerializeToString,
            )
            handlers.append(grpc.method_handlers_generic_handler(EXT_PROC, {"Process": process}))
        self.server.add_generic_rpc_handlers(tuple(handlers))

    async def start(self) -> None:
        """Start listening; raises OSError if the address can't be used."""
        try:
            self.port = self.server.add_insecure_port(self.config.listen)
        except RuntimeError as error:
            raise OSError(f"external processor on {self.config.listen}: {error}") from None
        await self.server.start()
        # Objects loaded so far live until the process ends; scanning them in each garbage collection would
        # delay decisions by pauses of some milliseconds.
        gc.collect()
        gc.freeze()
        # gRPC polls its sockets in a thread of its own, which waits up to this interval for the GIL.
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        host = self.config.listen.rpartition(":")[0]
        log_event(
            "external-processor", address=f"{host}:{self.port}", services=",".join(self.config.services)
        )

    def fronts(self) -> list[FrontActor]:
        """The actors of both services."""
        return [*self.decisions.fronts(), *self.envoy.fronts()]

    def _list_changed(self, listed: tuple[Listed, ...]) -> None:
        event = list_changed_event(listed)
        for front in self.fronts():
            front.enqueue(event)
        self.decisions.list_changed(listed)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to requests asked from now on; open ones keep their class and attempts."""
        self.shared.apply_settings(settings)
        self._update_lifecycle_settings()

    def apply_config(self, config: ExternalProcessor) -> list[str]:
        """Apply a changed extras file; returns the keys whose change takes effect after a restart."""
        restart_needed = [
            name for name in RESTART_ONLY if getattr(config, name) != getattr(self.config, name)
        ]
        self.shared.apply_config(config)
        self._update_lifecycle_settings()
        return restart_needed

    def _update_lifecycle_settings(self) -> None:
        for session in self.decisions.sessions.values():
            session.front.ledger.settings = self.shared.lifecycle_settings(single_attempt=False)
        for peer in self.envoy.peers.values():
            peer.front.ledger.settings = self.shared.lifecycle_settings(single_attempt=True)

    def begin_shutdown(self) -> None:
        """Refuse new questions from now on; open ones still get their verdicts."""
        self.shared.closing = True
        self.decisions.go_away()
        for front in self.fronts():
            front.stream_changed(Stream.CLOSING)

    async def stop(self) -> None:
        """Flush the last messages, then close the streams; call it after the last verdict."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                for front in self.fronts():
                    await front.idle.wait()
                while any(
                    session.writer is not None and session.writer.unsent
                    for session in self.decisions.sessions.values()
                ):
                    await asyncio.sleep(0.005)
        except TimeoutError:
            log_event("external-processor-unflushed", fronts=len(self.fronts()))
        self.decisions.close()
        self.envoy.close()
        await self.server.stop(FLUSH_TIMEOUT_S)
