"""State that both services share: dispatcher, admission limits, sessions and the configuration in force."""

from __future__ import annotations

import asyncio
import itertools
import os

from martentide.extproc.ledger import LifecycleSettings
from martentide.extproc.limits import Admission
from martentide.extproc.sessions import Sessions
from martentide.interface import Settings
from martentide.net.dispatcher import Dispatcher
from martentide.extras import ExternalProcessor, StreamsNode


class SharedState:
    """Dispatcher, admission limits, sessions and configuration of the services; one per process."""

    def __init__(
        self, config: ExternalProcessor, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.config, self.settings, self.dispatcher = config, settings, dispatcher
        self.loop = asyncio.get_running_loop()
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        top_worth = max((call_class.worth for call_class in settings.classes), default=1.0)
        self.admission = Admission(config.admission_limits(), top_worth, seed)
        self.sessions = Sessions(config.session_settings(), os.urandom)
        self.keys = itertools.count(1)  # of requests, unique across all fronts
        self.closing = False

    @property
    def streams(self) -> StreamsNode:
        """Limits of the streams."""
        return self.config.streams

    def lifecycle_settings(self, single_attempt: bool) -> LifecycleSettings:
        """Lifecycle settings for a ledger, as configured now."""
        return self.config.lifecycle_settings(self.settings, single_attempt)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to requests asked from now on.

        The table of classes is updated in place, because each front's ledger refers to it.
        """
        self.settings = settings
        self.classes.clear()
        self.classes.update({call_class.name: call_class for call_class in settings.classes})
        self.admission.top_worth = max((call_class.worth for call_class in settings.classes), default=1.0)

    def apply_config(self, config: ExternalProcessor) -> None:
        """Apply a changed extras file to requests and sessions from now on."""
        self.config = config
        self.admission.set_limits(config.admission_limits())
        self.sessions.settings = config.session_settings()
