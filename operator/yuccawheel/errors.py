"""Errors of the library."""


class FieldError(ValueError):
    """A field has a value that the cluster would refuse."""

    def __init__(self, owner, field, found, allowed):
        super().__init__(f"{owner}: {field}: found {found!r}, allowed: {allowed}")
        self.owner = owner
        self.field = field
        self.found = found
        self.allowed = allowed
