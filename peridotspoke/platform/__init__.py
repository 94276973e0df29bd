"""Adapter to the users' platform: its HTTP interfaces, stored documents and settings.

The platform's own names (route, service, upkeep and so on) occur only in this package.
"""

from peridotspoke.platform.assembly import assemble_node
from peridotspoke.platform.ingress import Ingress
from peridotspoke.platform.settings import parse_settings, read_settings_file
from peridotspoke.platform.submissions import decode_submission

__all__ = [
    "Ingress",
    "assemble_node",
    "decode_submission",
    "parse_settings",
    "read_settings_file",
]
