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
        self, part: ExternalProcessor, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.config, self.settings, self.dispatcher = part, settings, dispatcher
        self.loop = asyncio.get_running_loop()
        self.classes = {kind.name: kind for kind in settings.classes}
        top = max((kind.worth for kind in settings.classes), default=1.0)
        self.admission = Admission(part.admission_limits(), top, seed)
        self.sessions = Sessions(part.session_settings(), os.urandom)
        self.keys = itertools.count(1)
        self.closing = False

    @property
    def streams(self) -> StreamsNode:
        return self.config.streams

    def lifecycle_settings(self, single: bool) -> LifecycleSettings:
        return self.config.lifecycle_settings(self.settings, single)

    def apply_settings(self, settings: Settings) -> None:
        """Other settings hold for what is asked from now on. The table of classes stays the same object:
        each front's ledger looks into it."""
        self.settings = settings
        self.classes.clear()
        self.classes.update({kind.name: kind for kind in settings.classes})
        self.admission.top_worth = max((kind.worth for kind in settings.classes), default=1.0)

    def apply_config(self, part: ExternalProcessor) -> None:
        """New figures hold for what comes from now on."""
        self.config = part
        self.admission.set_limits(part.admission_limits())
        self.sessions.terms = part.session_settings()
