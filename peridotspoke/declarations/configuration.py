"""The published configuration.

A head record lists each declaration by the digest of its text; the texts are
stored as separate records, the parts, under their digests.
"""

from dataclasses import dataclass, field

import xxhash

from peridotspoke.declarations.reading import parse_declaration
from peridotspoke.declarations.schema import DeploymentDeclaration, ServiceDeclaration

__all__ = [
    "HEAD_KEY",
    "PARTS_PREFIX",
    "Configuration",
    "ConfigurationHead",
    "assemble_configuration",
    "digest_part",
]

HEAD_KEY = "config/head"
PARTS_PREFIX = "config-parts/"


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The head record of a published version.

    Parameters
    ----------
    version : int
        Grows with each publication.
    parts : dict of str to str
        The digest of each declaration's text by the declaration's name.
    """

    version: int
    parts: dict[str, str]


@dataclass(frozen=True, slots=True)
class Configuration:
    """The declarations of one published version.

    Parameters
    ----------
    version : int
    deployment : DeploymentDeclaration
    services : dict of str to ServiceDeclaration
        By the service's name.
    """

    version: int
    deployment: DeploymentDeclaration
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)

    def list_spare_services(self):
        """Return the names of the services with a spare pool, sorted."""
        return tuple(
            sorted(name for name, item in self.services.items() if item.pool.spare)
        )


def digest_part(text):
    """Return the hexadecimal 128-bit XXH3 digest of a declaration's text.

    Examples
    --------
    >>> len(digest_part('service = "feldkirch"'))
    32
    """
    return xxhash.xxh3_128_hexdigest(text.encode())


def assemble_configuration(head, texts):
    """Return the `Configuration` that a head describes.

    Without a deployment declaration, its defaults hold.

    Parameters
    ----------
    head : ConfigurationHead
    texts : dict of str to str
        The text of each part by its digest.

    Raises
    ------
    DeclarationError
        If a part's text is invalid.
    """
    services = {}
    deployment = DeploymentDeclaration(deployment="default")
    for name, digest in head.parts.items():
        declaration = parse_declaration(name, texts[digest])
        if isinstance(declaration, ServiceDeclaration):
            services[declaration.service] = declaration
        else:
            deployment = declaration
    return Configuration(head.version, deployment, services)
