"""Builds configurations for a yuccawheel cluster.

Objects check their fields when they are made. Printing a Configuration gives the YAML document
that `yuccactl submit` takes.
"""

from yuccawheel.configuration import Configuration
from yuccawheel.errors import FieldError
from yuccawheel.jobs import AllAtOnceJob, BatchJob, Resources, Service, Team

__all__ = ["AllAtOnceJob", "BatchJob", "Configuration", "FieldError", "Resources", "Service", "Team"]
