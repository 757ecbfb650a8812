"""Builds configurations for a yuccawheel cluster.

Each object validates its fields when it is created. Printing a Configuration gives the YAML document for
`yuccactl submit`.
"""

from yuccawheel.configuration import Configuration
from yuccawheel.errors import FieldError
from yuccawheel.jobs import AllAtOnceJob, BatchJob, Resources, Service, Team

__all__ = ["AllAtOnceJob", "BatchJob", "Configuration", "FieldError", "Resources", "Service", "Team"]
