"""Following of the published configuration by each process."""

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
    """Watches the configuration's head and puts each newer version into force.

    A head with an older version is ignored, so that a head restored from an old
    copy doesn't return a process to outdated declarations.

    Parameters
    ----------
    service : KeyValueService

    Attributes
    ----------
    configurations : reactivex.subject.BehaviorSubject
        Emits None first, then each `Configuration` put into force, with growing
        versions.
    head : ConfigurationHead or None
        The head in force.
    """

    def __init__(self, service):
        self.configurations = BehaviorSubject(None)
        self.head = None
        self._service = service
        self._texts = {}

    @property
    def version(self):
        """The version in force; 0 as long as there is none."""
        return self.head.version if self.head else 0

    async def run(self):
        """Watch the head and put its versions into force until cancelled."""
        handled_revision = 0
        async for followed in follow_prefix(self._service, HEAD_PREFIX):
            record = followed.records.get(HEAD_KEY)
            if record is None or record.revision == handled_revision:
                continue
            if await self._apply_record(record):
                handled_revision = record.revision

    async def _apply_record(self, record):
        """Put a head's version into force, or log why it is rejected.

        Returns
        -------
        bool
            False if a part couldn't be read and the head has to be tried again.
        """
        try:
            head = decode_record(record, ConfigurationHead).body
            if head.version < self.version:
                log_event(
                    "configuration-older",
                    "ERROR",
                    found=head.version,
                    kept=self.version,
                )
            await self.apply_head(head, self._fetch_part)
        except (DeclarationError, RecordError) as error:
            log_event("configuration-rejected", "ERROR", error=error)
        except PlatformError as error:
            log_event("configuration-incomplete", "WARNING", error=error)
            return False
        return True

    async def apply_head(self, head, fetch_part):
        """Put `head` into force if it is newer than the one in force.

        Only parts that the version in force doesn't share are fetched.

        Parameters
        ----------
        head : ConfigurationHead
        fetch_part : callable
            Coroutine function that takes a digest and returns the part's text.

        Raises
        ------
        DeclarationError
            If a part's text is invalid.
        RecordError
            If a fetched part doesn't have the digest it was fetched by.
        """
        if head.version <= self.version:
            return
        texts = {
            digest: await self._get_text(digest, fetch_part)
            for digest in head.parts.values()
        }
        configuration = assemble_configuration(head, texts)
        if head.version <= self.version:
            return
        self._texts = texts
        self.head = head
        log_event("configuration-in-force", version=head.version)
        self.configurations.on_next(configuration)

    async def _get_text(self, digest, fetch_part):
        text = self._texts.get(digest)
        if text is not None:
            return text
        text = await fetch_part(digest)
        if digest_part(text) != digest:
            raise RecordError(
                f"part has the digest {digest_part(text)}, expected {digest}",
                step="fetch part",
                peer=digest,
            )
        return text

    def get_part(self, digest):
        """Return the text of a part of the version in force, or None if it has none."""
        return self._texts.get(digest)

    async def _fetch_part(self, digest):
        record = await self._service.read(PARTS_PREFIX + digest)
        if record is None:
            raise PlatformError(
                "part is missing from the key-value service",
                step="fetch part",
                peer=digest,
            )
        return record.value.decode()
