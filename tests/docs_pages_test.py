"""Checks the documentation and the examples against the programs and sources. With --write it updates the generated
tables."""

import configparser
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("YW_BIN", ROOT / "build" / "bin"))
SETTINGS_PAGE = ROOT / "docs/operators/settings.md"
EVENTS_PAGE = ROOT / "docs/operators/metrics-and-logs.md"
COMMAND_PAGE = ROOT / "docs/operators/yuccactl.md"
PROGRAMS = ("entry", "scheduler", "store")
DEPLOYMENTS = ("bibliobus", "caligrafia")
SOURCES = sorted((ROOT / "src").rglob("*.cpp")) + sorted((ROOT / "src").rglob("*.h"))


def describe(what):
    done = subprocess.run([BIN / "yuccactl", "describe", what, "--format", "json"], capture_output=True, check=True)
    return json.loads(done.stdout)


def cell(value):
    text = ", ".join(value) if isinstance(value, list) else value
    return text.replace("|", "\\|")


def code(value):
    return f"`{value}`" if value else ""


def setting_table(rows):
    lines = ["| key | default | allowed | required by | meaning |", "| --- | --- | --- | --- | --- |"]
    for row in rows:
        cells = code(row["key"]), code(row["default"]), row["allowed"], row["required_by"], row["description"]
        lines.append("| " + " | ".join(map(cell, cells)) + " |")
    return "\n".join(lines)


def field_table(rows):
    lines = ["| field | in | default | allowed | meaning |", "| --- | --- | --- | --- | --- |"]
    for row in rows:
        default = "required" if row["required"] else code(row["default"])
        cells = code(row["field"]), row["sections"], default, row["allowed"], row["description"]
        lines.append("| " + " | ".join(map(cell, cells)) + " |")
    return "\n".join(lines)


def with_tables(page):
    """Returns the page with its generated tables updated from the output of the programs."""
    settings = describe("settings")
    help_text = subprocess.run([BIN / "yuccactl", "--help"], capture_output=True, check=True, text=True).stdout
    tables = {
        "daemons": setting_table(settings["daemons"]),
        "yuccactl": setting_table(settings["yuccactl"]),
        "document": field_table(describe("document")["fields"]),
        "help": "```\n" + "\n".join(line.rstrip() for line in help_text.strip().splitlines()) + "\n```",
    }

    def replace(match):
        return f"<!-- generated: {match.group(1)} -->\n{tables[match.group(1)]}\n<!-- end -->"

    return re.sub(r"<!-- generated: (\w+) -->\n.*?<!-- end -->", replace, page, flags=re.DOTALL)


def names_in_sources(pattern):
    """Returns the first groups of all matches of a pattern in the sources."""
    return {name for source in SOURCES for name in re.findall(pattern, source.read_text(encoding="utf-8"))}


def names_in_table(heading):
    """Returns all names in the first column of the table below a heading of the page on metrics and logs."""
    section = EVENTS_PAGE.read_text(encoding="utf-8").split(f"\n## {heading}\n")[1].split("\n## ")[0]
    first_cells = re.findall(r"^\| (`[^|]*)\|", section, flags=re.MULTILINE)
    return {name for cell_text in first_cells for name in re.findall(r"`([a-z0-9_]+)`", cell_text)}


class Pages(unittest.TestCase):
    maxDiff = None

    def test_generated_tables_are_current(self):
        for page in (SETTINGS_PAGE, COMMAND_PAGE):
            text = page.read_text(encoding="utf-8")
            self.assertIn("<!-- generated: ", text)
            self.assertEqual(text, with_tables(text), "run python3 tests/docs_pages_test.py --write")

    def test_every_log_event_has_a_row(self):
        events = names_in_sources(r'\blog(?:Debug|Info|Warning|Error)\(\s*"([a-z0-9_]+)"')
        self.assertEqual(names_in_table("Log events"), events | {"log_lines_dropped"})

    def test_every_metric_has_a_row(self):
        metrics = names_in_sources(r'"(yw_[a-z0-9_]+)(?=["{])')
        self.assertEqual(names_in_table("Metrics"), metrics)

    def test_links_have_existing_targets(self):
        for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]:
            for link in re.findall(r"\]\(([^)#\s]+)[^)]*\)", page.read_text(encoding="utf-8")):
                if "://" not in link:
                    self.assertTrue((page.parent / link).exists(), f"{page}: {link}")

    def test_promises_name_tests_that_exist(self):
        text = (ROOT / "docs/PROMISES.md").read_text(encoding="utf-8")
        named = re.findall(r"`([a-z_]+_test)(?:\.(\w+)\.(\w+)|\.py)?`", text)
        self.assertTrue(named)
        for file, suite, case in named:
            sources = [path for path in (ROOT / f"tests/{file}.cpp", ROOT / f"tests/{file}.py") if path.exists()]
            self.assertTrue(sources, file)
            if suite:
                pattern = rf"\({suite},\s*{case}\b|class {suite}\(.*def {case}\("
                found = re.search(pattern, sources[0].read_text(encoding="utf-8"), flags=re.DOTALL)
                self.assertTrue(found, f"{file}.{suite}.{case}")


class Examples(unittest.TestCase):
    def test_settings_of_both_deployments_pass_their_programs(self):
        for deployment in DEPLOYMENTS:
            for program in PROGRAMS:
                binary = BIN / f"yw-{program}"
                with self.subTest(deployment=deployment, program=program), tempfile.TemporaryDirectory() as folder:
                    self.copy_with_local_addresses(ROOT / "examples/settings" / deployment, pathlib.Path(folder))
                    if not binary.exists():
                        self.skipTest(f"{binary} is not built")
                    done = subprocess.run(
                        [binary, "--settings", f"{folder}/{program}.yaml", "--check"],
                        capture_output=True, check=False, text=True,
                    )
                    self.assertEqual(done.returncode, 0, done.stderr)
            done = subprocess.run(
                [BIN / "yuccactl", "--check", "--settings", f"examples/settings/{deployment}/yuccactl.yaml"],
                cwd=ROOT, capture_output=True, check=False, text=True,
            )
            self.assertEqual(done.returncode, 0, done.stderr)

    def copy_with_local_addresses(self, source, target):
        """Copies settings, replacing only listeners, token file and data folder by ones that are valid anywhere."""
        token = target / "token"
        token.write_text("0123456789abcdef\n")
        token.chmod(0o600)
        for file in source.glob("*.yaml"):
            text = re.sub(r"(?m)^(  \w+: )10\.[\d.]+:\d+$", r"\g<1>127.0.0.1:0", file.read_text(encoding="utf-8"))
            text = re.sub(r"(?m)^token_file: /etc/yuccawheel/token$", f"token_file: {token}", text)
            text = re.sub(r"(?m)^data_dir: /var/lib/yuccawheel/store$", f"data_dir: {target}/data", text)
            (target / file.name).write_text(text)

    def test_units_start_the_programs_and_wait_for_their_drain(self):
        for program in PROGRAMS:
            unit = configparser.ConfigParser(interpolation=None, strict=False)
            unit.optionxform = str
            unit.read(ROOT / f"examples/units/yw-{program}.service")
            service = unit["Service"]
            self.assertEqual(
                service["ExecStart"], f"/usr/local/bin/yw-{program} --settings /etc/yuccawheel/{program}.yaml"
            )
            for deployment in DEPLOYMENTS:
                cluster = (ROOT / f"examples/settings/{deployment}/cluster.yaml").read_text(encoding="utf-8")
                delay, limit = (
                    int(re.search(rf"(?m)^{key}: (\d+)s$", cluster).group(1)) for key in ("drain_delay", "drain_limit")
                )
                self.assertGreater(int(service["TimeoutStopSec"]), delay + limit)


if __name__ == "__main__":
    if sys.argv[1:] == ["--write"]:
        for path in (SETTINGS_PAGE, COMMAND_PAGE):
            path.write_text(with_tables(path.read_text(encoding="utf-8")), encoding="utf-8")
    else:
        unittest.main()
