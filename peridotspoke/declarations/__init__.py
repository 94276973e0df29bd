"""Operators' declarations: read, check, compare, publish, follow."""

from peridotspoke.declarations.configuration import (
    Configuration,
    ConfigurationHead,
    assemble_configuration,
    digest_part,
)
from peridotspoke.declarations.following import ConfigurationFollower
from peridotspoke.declarations.publishing import Publication, publish_declarations
from peridotspoke.declarations.reading import (
    Fault,
    parse_declaration,
    read_declarations,
)
from peridotspoke.declarations.schema import (
    BudgetDeclaration,
    DeploymentDeclaration,
    MaintenanceDeclaration,
    NeedDeclaration,
    PoolDeclaration,
    QuotaDeclaration,
    RequestsDeclaration,
    ServiceDeclaration,
    WeightsDeclaration,
)

__all__ = [
    "BudgetDeclaration",
    "Configuration",
    "ConfigurationFollower",
    "ConfigurationHead",
    "DeploymentDeclaration",
    "Fault",
    "MaintenanceDeclaration",
    "NeedDeclaration",
    "PoolDeclaration",
    "Publication",
    "QuotaDeclaration",
    "RequestsDeclaration",
    "ServiceDeclaration",
    "WeightsDeclaration",
    "assemble_configuration",
    "digest_part",
    "parse_declaration",
    "publish_declarations",
    "read_declarations",
]
