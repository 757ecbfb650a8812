"""The operators' library accepts and refuses the same values as the parser, and the parser accepts its output."""

import json
import os
import random
import subprocess
import sys
import unittest
from datetime import timedelta

from yuccawheel import AllAtOnceJob, BatchJob, Configuration, FieldError, Resources, Service, Team

YUCCACTL = os.path.join(os.environ.get("YW_BIN", "build/bin"), "yuccactl")
SEED = 20261204
ROUNDS = 60


def check(text):
    """Runs `yuccactl check` on a document; returns its exit code and answer."""
    done = subprocess.run(
        [YUCCACTL, "check", "-", "--format", "json"], input=str(text).encode(), capture_output=True, check=False
    )
    return done.returncode, json.loads(done.stdout)


class Generator:
    """Generates field values at and beyond their limits."""

    def __init__(self, seed):
        self.random = random.Random(seed)

    def resources(self):
        pick = self.random.choice
        return Resources(
            pick([0, 0.001, 0.5, 1024, 1024.001, 0.0001]), pick(["0MiB", "1MiB", "3GiB", "16TiB", "17TiB", "4GB"]),
            pick([0, 1, 64, 65]),
        )

    def fields(self):
        pick = self.random.choice
        return {
            "name": pick(["a", "null", "1.5", "-a", "a" * 63, "a" * 64, "a b", "Ünder", ""]),
            "team": pick(["t", "true", "~", "t/1"]),
            "resources": self.resources(),
            "priority": pick([0, -100, 100, 101]),
            "urgent": pick([True, False]),
            "detached_for": pick([None, "1s", timedelta(seconds=90), timedelta(days=2), timedelta(milliseconds=999)]),
            "payload": pick(["", "x: y\n\t\"", "\x00\x7f\x85\u2028é✂🎉", "'" * 16384, "x" * 16385]),
        }

    def job_fields(self):
        pick = self.random.choice
        return self.fields() | {
            "tasks": pick([1, 100_000, 100_001, 0]),
            "run_time": pick(["1ms", timedelta(minutes=1), "30d", "31d", "5", timedelta(0)]),
            "deadline": pick([None, timedelta(hours=1.5), "365d", "366d"]),
            "repeatable": pick([True, False]),
        }


class LibraryAgreesWithParser(unittest.TestCase):
    def assert_agreement(self, kind, section, values):
        """Asserts that library and parser both accept or both refuse an item; returns whether they accept it."""
        try:
            text = str(Configuration(kind(**values)))
            expected = 0
        except FieldError:
            # Bypasses the library's checks, so that the parser gets the refused values.
            item = object.__new__(kind)
            for field in kind.__dataclass_fields__.values():
                object.__setattr__(item, field.name, values.get(field.name, field.default))
            for name in ("run_time", "deadline", "detached_for"):
                if isinstance(values.get(name), timedelta):
                    object.__setattr__(item, name, f"{values[name] // timedelta(milliseconds=1)}ms")
            text = str(Configuration().add(item))
            expected = 2
        code, answer = check(text)
        self.assertEqual(code, expected, f"{section}: {values!r}\n{text[:400]}\n{answer}")
        return expected == 0

    def test_limits_of_every_field(self):
        generator = Generator(SEED)
        accepted = 0
        good = {"name": "n", "team": "t", "resources": Resources(1, "1GiB")}
        for _ in range(ROUNDS):
            kind, section, fields, base = generator.random.choice([
                (Service, "services", generator.fields() | {
                    "replicas": generator.random.choice([1, 5, 0, 100_001]),
                    "max_disruption": generator.random.choice([1, 2, 0]),
                }, good | {"replicas": 1}),
                (BatchJob, "batch", generator.job_fields(), good | {"tasks": 1, "run_time": "1s"}),
                (AllAtOnceJob, "all_at_once", generator.job_fields(), good | {"tasks": 1, "run_time": "1s"}),
            ])
            # Only two fields vary at a time, so that one bad field does not hide another.
            chosen = generator.random.sample(sorted(fields), 2)
            accepted += self.assert_agreement(kind, section, base | {name: fields[name] for name in chosen})
        self.assertTrue(0 < accepted < ROUNDS)

    def test_teams_and_removals(self):
        text = Configuration(Team("t", Resources(0, "0MiB"))).remove_team("null").remove_service("old")
        self.assertEqual(check(text), (0, {
            "teams": 1, "services": 0, "batch": 0, "all_at_once": 0, "removed_teams": 1, "removed_services": 1,
        }))
        with self.assertRaises(FieldError):
            text.add(Team("t", Resources(1, "1GiB")))
        with self.assertRaises(FieldError):
            text.remove_team("t")
        with self.assertRaises(FieldError):
            text.remove_service("a b")

    def test_error_names_the_field(self):
        with self.assertRaisesRegex(FieldError, "BatchJob 'n': resources.memory: found '4GB', allowed: an amount"):
            BatchJob("n", "t", Resources(1, "4GB"), tasks=1, run_time="1s")

    def test_examples_are_accepted(self):
        for name, counts in (("bibliobus", (2, 1, 2, 1)), ("caligrafia", (4, 4, 2, 4))):
            text = subprocess.run([sys.executable, f"examples/{name}.py"], capture_output=True, check=True, text=True)
            code, answer = check(text.stdout)
            self.assertEqual(code, 0, answer)
            self.assertEqual(tuple(answer[key] for key in ("teams", "services", "batch", "all_at_once")), counts)


if __name__ == "__main__":
    unittest.main()
