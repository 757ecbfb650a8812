"""Configuration changes and jobs to submit together, and their YAML document."""

import json
from dataclasses import MISSING, fields
from decimal import Decimal

from yuccawheel import checks
from yuccawheel.errors import FieldError
from yuccawheel.jobs import AllAtOnceJob, BatchJob, Resources, Service, Team

SECTIONS = {Team: "teams", Service: "services", BatchJob: "batch", AllAtOnceJob: "all_at_once"}


class Configuration:
    """Content of one submission. `str(configuration)` is its YAML document."""

    def __init__(self, *items):
        self._items = {section: {} for section in SECTIONS.values()}
        self._removed = {"teams": [], "services": []}
        self.add(*items)

    def add(self, *items):
        """Adds teams, services and jobs. Names are unique within each kind."""
        for item in items:
            section = SECTIONS.get(type(item))
            if section is None:
                raise FieldError("Configuration", "item", item, "Team, Service, BatchJob or AllAtOnceJob")
            if item.name in self._items[section] or item.name in self._removed.get(section, []):
                raise FieldError("Configuration", section, item.name, "a unique name")
            self._items[section][item.name] = item
        return self

    def remove_service(self, name):
        """Removes a service that is in force."""
        return self._remove("services", name)

    def remove_team(self, name):
        """Removes a team that is in force."""
        return self._remove("teams", name)

    def _remove(self, section, name):
        if name in self._items[section]:
            raise FieldError("Configuration", section, name, "a name that the configuration does not also add")
        try:
            self._removed[section].append(checks.check_name(name))
        except ValueError as error:
            raise FieldError("Configuration", section, name, str(error)) from None
        return self

    def __str__(self):
        lines = []
        for section, items in self._items.items():
            if items:
                lines.append(f"{section}:")
            for item in items.values():
                lines.extend(_item_lines(item))
        removed = {section: names for section, names in self._removed.items() if names}
        if removed:
            lines.append("remove:")
        for section, names in removed.items():
            lines.append(f"  {section}: [{', '.join(map(_scalar, names))}]")
        return "\n".join(lines)


def _item_lines(item):
    lines = []
    for field in fields(item):
        value = getattr(item, field.name)
        if field.default is MISSING or value != field.default:
            lines.append(f"{'    ' if lines else '  - '}{field.name}: {_value(value)}")
    return lines


def _value(value):
    if isinstance(value, Resources):
        parts = [f"cpu: {_scalar(value.cpu)}", f"memory: {_scalar(value.memory)}"]
        if value.accelerators:
            parts.append(f"accelerators: {value.accelerators}")
        return "{" + ", ".join(parts) + "}"
    return _scalar(value)


def _scalar(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        # A JSON string is a double-quoted YAML scalar, but YAML also requires DEL and the C1 controls to be escaped.
        quoted = json.dumps(value, ensure_ascii=False)
        return "".join(f"\\x{ord(c):02x}" if 0x7F <= ord(c) <= 0x9F else c for c in quoted)
    return format(Decimal(str(value)), "f")
