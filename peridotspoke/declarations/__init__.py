"""Reading, validating, comparing, publishing and following of declarations."""

from peridotspoke.declarations.checking import Fault
from peridotspoke.declarations.comparing import KeyChange, compare_texts
from peridotspoke.declarations.configuration import (
    Configuration,
    ConfigurationHead,
    assemble_configuration,
    digest_part,
)
from peridotspoke.declarations.following import ConfigurationFollower
from peridotspoke.declarations.publishing import (
    Publication,
    publish_declarations,
    read_head,
    read_members,
    read_texts,
)
from peridotspoke.declarations.reading import parse_declaration, read_declarations
from peridotspoke.declarations.rollout import RollOut, ZoneProgress, measure_roll_out
from peridotspoke.declarations.schema import (
    BudgetDeclaration,
    DeploymentDeclaration,
    JobsDeclaration,
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
    "JobsDeclaration",
    "KeyChange",
    "MaintenanceDeclaration",
    "NeedDeclaration",
    "PoolDeclaration",
    "Publication",
    "RollOut",
    "ZoneProgress",
    "QuotaDeclaration",
    "RequestsDeclaration",
    "ServiceDeclaration",
    "WeightsDeclaration",
    "assemble_configuration",
    "compare_texts",
    "digest_part",
    "parse_declaration",
    "measure_roll_out",
    "publish_declarations",
    "read_declarations",
    "read_head",
    "read_members",
    "read_texts",
]
