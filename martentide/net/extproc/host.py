"""What the services share: the dispatcher, the limits, the sessions and the operator's terms in force."""

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


class Host:
    """One for the program."""

    def __init__(
        self, config: ExternalProcessor, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.config, self.settings, self.dispatcher = config, settings, dispatcher
        self.loop = asyncio.get_running_loop()
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        top_worth = max((call_class.worth for call_class in settings.classes), default=1.0)
        self.admission = Admission(config.admission_limits(), top_worth, seed)
        self.sessions = Sessions(config.session_settings(), os.urandom)
        self.keys = itertools.count(1)
        self.closing = False

    @property
    def streams(self) -> StreamsNode:
        return self.config.streams

    def lifecycle_settings(self, single_attempt: bool) -> LifecycleSettings:
        return self.config.lifecycle_settings(self.settings, single_attempt)

    def apply_settings(self, settings: Settings) -> None:
        """Other settings hold for what is asked from now on. The table of classes stays the same object:
        each front's ledger looks into it."""
        self.settings = settings
        self.classes.clear()
        self.classes.update({call_class.name: call_class for call_class in settings.classes})
        self.admission.top_worth = max((call_class.worth for call_class in settings.classes), default=1.0)

    def apply_config(self, config: ExternalProcessor) -> None:
        """New figures hold for what comes from now on."""
        self.config = config
        self.admission.set_limits(config.admission_limits())
        self.sessions.settings = config.session_settings()
