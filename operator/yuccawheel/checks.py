"""Validators of single values. Each returns the value for the document, or raises ValueError with what is allowed."""

import re
from datetime import timedelta
from decimal import Decimal

MIB_PER_UNIT = {"MiB": 1, "GiB": 1024, "TiB": 1024 * 1024}
MS_PER_UNIT = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
AMOUNT = re.compile(r"(\d+)([A-Za-z]+)")


def check_name(value):
    """Checks the name of a team, service or job."""
    if not isinstance(value, str) or NAME.fullmatch(value) is None:
        raise ValueError("a name of 1 to 63 letters, digits, '-', '_' or '.', the first a letter or digit")
    return value


def check_flag(value):
    """Checks a boolean."""
    if not isinstance(value, bool):
        raise ValueError("True or False")
    return value


def integer(lowest, highest):
    """Returns a check of an integer; both bounds are allowed."""

    def check(value):
        if isinstance(value, bool) or not isinstance(value, int) or not lowest <= value <= highest:
            raise ValueError(f"a whole number from {lowest} to {highest}")
        return value

    return check


def cores(lowest_milli, highest_milli):
    """Returns a check of a number of cores with at most three decimals; bounds in millicores."""
    allowed = f"cores from {Decimal(lowest_milli) / 1000} to {Decimal(highest_milli) / 1000}, up to three decimals"

    def check(value):
        if isinstance(value, bool) or not isinstance(value, (int, float, Decimal)):
            raise ValueError(allowed)
        milli = Decimal(str(value)) * 1000
        if not milli.is_finite() or milli != milli.to_integral_value() or not lowest_milli <= milli <= highest_milli:
            raise ValueError(allowed)
        return milli / 1000

    return check


def memory(lowest_mib, highest_mib):
    """Returns a check of an amount of memory such as "16GiB"; bounds in MiB."""
    allowed = f"an amount from {lowest_mib}MiB to {highest_mib}MiB with a unit (MiB, GiB, TiB)"

    def check(value):
        amount = _amount(value, MIB_PER_UNIT, allowed)
        if not lowest_mib <= amount <= highest_mib:
            raise ValueError(allowed)
        return value

    return check


def duration(lowest, highest):
    """Returns a check of a timedelta, or of text such as "90s"; the value becomes text."""
    allowed = f"a timedelta, or text with a unit (ms, s, m, h, d), from {lowest} to {highest}"
    lowest_ms, highest_ms = _milliseconds(lowest), _milliseconds(highest)

    def check(value):
        if isinstance(value, timedelta):
            if value % timedelta(milliseconds=1):
                raise ValueError(allowed)
            value = _duration_text(_milliseconds(value))
        if not lowest_ms <= _amount(value, MS_PER_UNIT, allowed) <= highest_ms:
            raise ValueError(allowed)
        return value

    return check


def text(longest):
    """Returns a check of text; `longest` is its maximum length in UTF-8 bytes."""

    def check(value):
        if not isinstance(value, str) or len(value.encode("utf-8", "surrogatepass")) > longest or _has_surrogate(value):
            raise ValueError(f"text of at most {longest} bytes")
        return value

    return check


def _amount(value, units, allowed):
    match = AMOUNT.fullmatch(value) if isinstance(value, str) and value.isascii() else None
    if match is None or match.group(2) not in units:
        raise ValueError(allowed)
    return int(match.group(1)) * units[match.group(2)]


def _duration_text(milliseconds):
    """Formats a duration in the largest unit of which it is a whole multiple; zero in milliseconds."""
    unit, factor = max(
        ((unit, factor) for unit, factor in MS_PER_UNIT.items() if milliseconds % factor == 0),
        key=lambda candidate: candidate[1] if milliseconds else -candidate[1],
    )
    return f"{milliseconds // factor}{unit}"


def _milliseconds(value):
    return value // timedelta(milliseconds=1)


def _has_surrogate(value):
    return any(0xD800 <= ord(character) <= 0xDFFF for character in value)
