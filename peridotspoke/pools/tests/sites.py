"""A small configuration for the tests of pools."""

from peridotspoke.declarations import (
    BudgetDeclaration,
    Configuration,
    DeploymentDeclaration,
    MaintenanceDeclaration,
    NeedDeclaration,
    PoolDeclaration,
    ServiceDeclaration,
)


def make_service(name, instances=8, need=4, spare=False, windows=("00:00-23:59",)):
    """Return a service whose pool may have two instances out."""
    return ServiceDeclaration(
        service=name,
        pool=PoolDeclaration(instances=instances, spare=spare),
        need=NeedDeclaration(instances=need),
        budget=BudgetDeclaration(max_unavailable=2),
        maintenance=MaintenanceDeclaration(windows=windows),
    )


def make_configuration():
    """Return two pools of eight, the second the spare."""
    services = {
        "left": make_service("left"),
        "right": make_service("right", spare=True),
    }
    return Configuration(1, DeploymentDeclaration(deployment="test"), services)
