"""Follows the published configuration: watch, check, assemble, apply."""

from reactivex.subject import BehaviorSubject

from peridotspoke.declarations.configuration import (
    HEAD_KEY,
    PARTS_PREFIX,
    ConfigurationHead,
    assemble_configuration,
)
from peridotspoke.exceptions import PeridotspokeError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.platform import decode_record, follow_prefix

__all__ = ["ConfigurationFollower"]

HEAD_PREFIX = "config/"


class ConfigurationFollower:
    """Keeps the newest configuration in force.

    `configurations` is a reactivex subject of each `Configuration` taken into
    force, beginning with None; versions only grow.

    Parameters
    ----------
    service : KeyValueService
    """

    def __init__(self, service):
        self.configurations = BehaviorSubject(None)
        self.head = None
        self._service = service
        self._texts = {}

    @property
    def version(self):
        """The version in force; 0 before the first."""
        return self.head.version if self.head else 0

    async def run(self):
        """Follow until cancelled."""
        async for followed in follow_prefix(self._service, HEAD_PREFIX):
            for key in followed.changed:
                record = followed.records.get(key)
                if record is not None:
                    await self._take_record(record)

    async def _take_record(self, record):
        if record.key != HEAD_KEY:
            return
        try:
            head = decode_record(record, ConfigurationHead).body
            await self.take_head(head, self._fetch_part)
        except PeridotspokeError as error:
            log_event("configuration-rejected", "ERROR", error=error)

    async def take_head(self, head, fetch_part):
        """Take `head` into force if it is newer, fetching the parts it lacks.

        Parameters
        ----------
        head : ConfigurationHead
        fetch_part : callable
            Coroutine function from a digest to the part's text.
        """
        if head.version <= self.version:
            return
        texts = {
            digest: self._texts.get(digest) or await fetch_part(digest)
            for digest in head.parts.values()
        }
        configuration = assemble_configuration(head, texts)
        if head.version <= self.version:
            return
        self._texts = texts
        self.head = head
        log_event("configuration-in-force", version=head.version)
        self.configurations.on_next(configuration)

    def get_part(self, digest):
        """Return the text of a part in force, or None."""
        return self._texts.get(digest)

    async def _fetch_part(self, digest):
        record = await self._service.read(PARTS_PREFIX + digest)
        if record is None:
            raise RecordError(
                "expected a part, found none", step="fetch part", peer=digest
            )
        return record.value.decode()
