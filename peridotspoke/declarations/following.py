"""Follows the published configuration: watch, check, assemble, apply."""

from reactivex.subject import BehaviorSubject

from peridotspoke.declarations.configuration import (
    HEAD_KEY,
    PARTS_PREFIX,
    ConfigurationHead,
    assemble_configuration,
    digest_part,
)
from peridotspoke.exceptions import DeclarationError, PlatformError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.store import decode_record, follow_prefix

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
        done_revision = 0
        async for followed in follow_prefix(self._service, HEAD_PREFIX):
            record = followed.records.get(HEAD_KEY)
            if record is None or record.revision == done_revision:
                continue
            if await self._take_record(record):
                done_revision = record.revision

    async def _take_record(self, record):
        """Take a head into force; return False where it is to be tried again."""
        try:
            head = decode_record(record, ConfigurationHead).body
            if head.version < self.version:
                log_event(
                    "configuration-older",
                    "ERROR",
                    found=head.version,
                    kept=self.version,
                )
            await self.take_head(head, self._fetch_part)
        except (DeclarationError, RecordError) as error:
            log_event("configuration-rejected", "ERROR", error=error)
        except PlatformError as error:
            log_event("configuration-incomplete", "WARNING", error=error)
            return False
        return True

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
            digest: await self._find_text(digest, fetch_part)
            for digest in head.parts.values()
        }
        configuration = assemble_configuration(head, texts)
        if head.version <= self.version:
            return
        self._texts = texts
        self.head = head
        log_event("configuration-in-force", version=head.version)
        self.configurations.on_next(configuration)

    async def _find_text(self, digest, fetch_part):
        text = self._texts.get(digest)
        if text is not None:
            return text
        text = await fetch_part(digest)
        if digest_part(text) != digest:
            raise RecordError(
                f"expected the digest {digest}, found {digest_part(text)}",
                step="fetch part",
                peer=digest,
            )
        return text

    def get_part(self, digest):
        """Return the text of a part in force, or None."""
        return self._texts.get(digest)

    async def _fetch_part(self, digest):
        record = await self._service.read(PARTS_PREFIX + digest)
        if record is None:
            raise PlatformError(
                "expected a part, found none", step="fetch part", peer=digest
            )
        return record.value.decode()
