"""A published configuration: a small head that names parts by their digests."""

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
    """A version and the digest of each declaration by its name."""

    version: int
    parts: dict[str, str]


@dataclass(frozen=True, slots=True)
class Configuration:
    """The declarations of one version."""

    version: int
    deployment: DeploymentDeclaration
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)

    def get_spare(self):
        """Return the names of the spare pools, in order."""
        return tuple(
            sorted(name for name, item in self.services.items() if item.pool.spare)
        )


def digest_part(text):
    """Return the digest that names a declaration's text.

    Examples
    --------
    >>> len(digest_part('service = "feldkirch"'))
    32
    """
    return xxhash.xxh3_128_hexdigest(text.encode())


def assemble_configuration(head, texts):
    """Return the `Configuration` of a head, given each part's text by digest."""
    services = {}
    deployment = DeploymentDeclaration(deployment="default")
    for name, digest in head.parts.items():
        declaration = parse_declaration(name, texts[digest])
        if isinstance(declaration, ServiceDeclaration):
            services[declaration.service] = declaration
        else:
            deployment = declaration
    return Configuration(head.version, deployment, services)
