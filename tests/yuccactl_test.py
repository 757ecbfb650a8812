"""Runs yuccactl against scripted entries: verdicts, resends, conflicts, tokens and exit codes."""

import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import unittest

YUCCACTL = os.path.join(os.environ.get("YW_BIN", "build/bin"), "yuccactl")
TOKEN = "0123456789abcdef"
SERVICE = """services:
  - name: loan-checks
    team: desk
    replicas: {replicas}
    resources: {{cpu: 1, memory: 1GiB}}
"""
JOB = """batch:
  - {name: rebuild, team: routes, tasks: 3, run_time: 1m, resources: {cpu: 1, memory: 1GiB}}
"""
IN_FORCE = {
    "version": 7,
    "teams": [],
    "services": [
        {"name": "loan-checks", "team": "desk", "replicas": 2, "resources": {"cpu": 1, "memory": "1GiB"}}
    ],
}


class ScriptedEntry:
    """HTTP server in place of an entry's operator address: gives scripted answers and records the requests.

    `answers` maps "METHOD path" to a list of (status, body); the last one is repeated. A status of None closes the
    connection without an answer; "wait" does so only after `release` is set.
    """

    def __init__(self, answers):
        self.requests = []
        self.release = threading.Event()
        self.arrived = threading.Event()
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length).decode()
                path = self.path.split("?")[0]
                entry.requests.append((self.command, self.path, dict(self.headers), body))
                script = answers[f"{self.command} {path}"]
                status, reply = script.pop(0) if len(script) > 1 else script[0]
                if status == "wait":
                    entry.arrived.set()
                    entry.release.wait()
                    status = None
                if status is None:
                    self.close_connection = True
                    return
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = answer

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def posts(self):
        return [request for request in self.requests if request[0] == "POST"]

    def close(self):
        self.release.set()
        self.server.shutdown()
        self.server.server_close()


def unused_address():
    """Returns a bound socket that does not listen, and its address, which refuses connections while it is open."""
    bound_socket = socket.socket()
    bound_socket.bind(("127.0.0.1", 0))
    return bound_socket, "127.0.0.1:%d" % bound_socket.getsockname()[1]


class YuccactlTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.document = self.folder / "document.yaml"
        self.record = self.folder / "document.yaml.submission"
        self.token_file = self.folder / "token"
        self.token_file.write_text(TOKEN + "\n")
        self.token_file.chmod(0o600)
        self.bound_socket, self.refusing_address = unused_address()
        self.addCleanup(self.bound_socket.close)

    def entry(self, **answers):
        scripted = {"GET /v1/configuration": [(200, IN_FORCE)]}
        scripted |= {key.replace("_", " ", 1).replace("__", "/"): value for key, value in answers.items()}
        entry = ScriptedEntry(scripted)
        self.addCleanup(entry.close)
        return entry

    def command(self, entries, *arguments):
        addresses = [entry if isinstance(entry, str) else entry.address for entry in entries]
        options = [option for address in addresses for option in ("--entry", address)]
        return [YUCCACTL, *arguments, *options, "--token-file", str(self.token_file), "--format", "json"]

    def run_command(self, entries, *arguments):
        """Returns the exit code and the answer."""
        done = subprocess.run(self.command(entries, *arguments), capture_output=True, check=False, text=True)
        self.assertNotIn(TOKEN, done.stdout + done.stderr)
        return done.returncode, json.loads(done.stdout) if done.stdout else done.stderr

    def submit(self, entries, *arguments):
        return self.run_command(entries, "submit", str(self.document), *arguments)

    def test_submit_expects_the_version_of_the_diff(self):
        entry = self.entry(POST___v1__submissions=[(200, {"version": 8, "jobs": [], "resent": False})])
        self.document.write_text(SERVICE.format(replicas=3))
        code, answer = self.submit([self.refusing_address, entry], "--dry-run")
        self.assertEqual((code, answer["version"], answer["changes"][0]["change"]), (0, 7, "changed"))
        self.assertEqual(entry.posts(), [])
        self.assertEqual(self.submit([self.refusing_address, entry]), (0, {"version": 8, "jobs": [], "resent": False}))
        (_, _, headers, body), = entry.posts()
        self.assertEqual(headers["Yw-Expected-Version"], "7")
        self.assertEqual(headers["Authorization"], "Bearer " + TOKEN)
        self.assertRegex(headers["Yw-Submission"], "^[0-9a-f]{32}$")
        self.assertEqual(body, self.document.read_text())
        self.assertFalse(self.record.exists())

    def test_unanswered_submission_is_resent_with_the_same_id(self):
        first = self.entry(POST___v1__submissions=[(None, None)])
        second = self.entry(POST___v1__submissions=[(503, {"verdict": "not-run"}), (200, {"resent": True})])
        self.document.write_text(JOB)
        code, answer = self.submit([first, second])
        self.assertEqual(code, 5, answer)
        self.assertTrue(self.record.exists())
        self.assertEqual(self.submit([second])[0], 0)
        self.assertFalse(self.record.exists())
        ids = {request[2]["Yw-Submission"] for request in first.posts() + second.posts()}
        self.assertEqual(len(ids), 1)
        self.assertEqual(self.submit([second])[0], 0)
        self.assertNotIn(second.posts()[-1][2]["Yw-Submission"], ids)

    def test_killed_submit_is_resent_with_its_version(self):
        entry = self.entry(POST___v1__submissions=[("wait", None), (200, {"version": 8})])
        self.document.write_text(SERVICE.format(replicas=3))
        process = subprocess.Popen(
            self.command([entry], "submit", str(self.document)), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        self.assertTrue(entry.arrived.wait(60))
        process.send_signal(signal.SIGKILL)
        process.wait()
        entry.release.set()
        IN_FORCE["version"] = 9
        self.addCleanup(IN_FORCE.__setitem__, "version", 7)
        self.assertEqual(self.submit([entry])[0], 0)
        sent = [(post[2]["Yw-Submission"], post[2]["Yw-Expected-Version"]) for post in entry.posts()]
        self.assertEqual(sent[0], sent[1])

    def test_changed_document_is_refused_while_a_submission_is_pending(self):
        entry = self.entry(POST___v1__submissions=[(504, {"verdict": "may-have-run"}), (200, {})])
        self.document.write_text(JOB)
        self.assertEqual(self.submit([entry])[0], 5)
        self.document.write_text(JOB + "# changed\n")
        code, answer = self.submit([entry])
        self.assertEqual(code, 2)
        self.assertIn("--abandon", answer["message"])
        self.assertEqual(len(entry.posts()), 1)
        self.assertEqual(self.submit([entry], "--abandon")[0], 0)
        first, second = (post[2]["Yw-Submission"] for post in entry.posts())
        self.assertNotEqual(first, second)

    def test_conflict_and_bad_document_end_the_submission(self):
        winner = {"version": 8, "submission": "abc"}
        entry = self.entry(POST___v1__submissions=[
            (409, {"error": "version_conflict", "message": "version 8 is in force", "winner": winner}),
            (400, {"error": "bad_document", "message": "refused", "problems": [{"line": 1}]}),
        ])
        self.document.write_text(SERVICE.format(replicas=3))
        code, answer = self.submit([entry])
        self.assertEqual((code, answer["answer"]["winner"]), (3, winner))
        self.assertFalse(self.record.exists())
        code, answer = self.submit([entry])
        self.assertEqual((code, answer["message"], answer["answer"]["problems"]), (2, "refused", [{"line": 1}]))
        self.assertFalse(self.record.exists())
        self.document.write_text("servces: []\n")
        code, answer = self.submit([entry])
        self.assertEqual((code, answer["answer"]["problems"][0]["line"]), (2, 1))
        self.assertEqual(len(entry.posts()), 2)

    def test_wait_ends_when_every_daemon_has_the_version(self):
        behind = {"daemons": [{"node": "a1", "version": 8}, {"node": "b1", "version": 7}]}
        done = {"daemons": [{"node": "a1", "version": 8}, {"node": "b1", "version": 9}]}
        entry = self.entry(
            POST___v1__submissions=[(200, {"version": 8})],
            GET___v1__configuration__status=[(200, behind), (503, {}), (200, done)],
        )
        self.document.write_text(SERVICE.format(replicas=3))
        self.assertEqual(self.submit([entry], "--wait", "10m", "--interval", "10ms")[0], 0)
        self.assertEqual(sum("status" in request[1] for request in entry.requests), 3)

    def test_exit_codes(self):
        entry = self.entry(
            GET___v1__jobs__1=[(404, {"error": "not_found", "message": "no job 1"})],
            POST___v1__jobs__1__cancel=[(200, {"verdict": "not-run"})],
            GET___v1__workers=[(401, {"error": "unauthorized"})],
            POST___v1__workers__w1__drain=[(None, None)],
            GET___v1__jobs=[(200, {"jobs": [{"id": 1, "name": "a\u001b[31m"}]})],
        )
        self.assertEqual(self.run_command([entry], "get", "1")[0], 1)
        self.assertEqual(self.run_command([entry], "cancel", "1"), (0, {"verdict": "not-run"}))
        self.assertEqual(self.run_command([entry], "workers")[0], 6)
        self.assertEqual(self.run_command([entry, self.refusing_address], "drain", "w1")[0], 5)
        self.assertEqual(self.run_command([self.refusing_address], "drain", "w1")[0], 4)
        self.assertEqual(self.run_command([entry], "store", "replace", "a1")[0], 2)
        for wrong in (["get"], ["lst"], ["list", "x"], ["list", "--state", "a b"], ["list", "--nonsense"]):
            self.assertEqual(self.run_command([entry], *wrong)[0], 2, wrong)
        self.assertEqual(self.run_command(["localhost:1"], "list")[0], 2)
        table = subprocess.run(self.command([entry], "list")[:-2], capture_output=True, check=True, text=True).stdout
        self.assertIn("NAME", table)
        self.assertNotIn("\x1b", table)

    def test_watch_follows_a_job_over_entry_faults(self):
        entry = self.entry(GET___v1__jobs__1=[
            (200, {"state": "running"}), (503, {}), (200, {"state": "running"}), (200, {"state": "failed"}),
        ])
        done = subprocess.run(
            self.command([entry], "watch", "1", "--interval", "10ms"), capture_output=True, check=False, text=True
        )
        self.assertEqual(done.returncode, 1)
        states = [json.loads(line)["state"] for line in done.stdout.splitlines()]
        self.assertEqual(states, ["running", "failed"])

    def test_report_lists_what_needs_an_operator(self):
        job = {"id": 4, "name": "suite", "tasks": 3, "failed": 2, "may_have_run": 1}
        amount = {"milli_cpu": 4000, "memory_mib": 1024}
        entry = self.entry(
            GET___v1__report=[(200, {"succeeded": 7, "failed": [job], "may_have_run": [job], "unfinished": [job]})],
            GET___v1__jobs__4__explain=[(200, {"zones": [{"zone": "a", "text": "quota"}]})],
            GET___v1__workers=[(200, {"workers": [
                {"name": "w1", "state": "quarantined", "reason": "failures", "tasks": ["1.0.0"], "reserved": amount,
                 "capacity": {"milli_cpu": 16000, "memory_mib": 2048}},
                {"name": "w2", "state": "active", "tasks": [], "reserved": amount, "capacity": amount},
            ]})],
            GET___v1__configuration__status=[(200, {"daemons": [{"node": "b1", "behind": 2}, {"node": "a1"}]})],
            GET___v1__store=[(503, {"verdict": "not-run"})],
        )
        code, report = self.run_command([entry], "report", "--since", "8h")
        self.assertEqual(code, 0)
        self.assertEqual([item["item"] for item in report["attention"]],
                         ["job 4 suite", "job 4 suite", "worker w1", "daemon b1", "/v1/store"])
        self.assertEqual((report["busy_workers"], report["cpu_reserved_on_busy_percent"]), (1, 25))
        self.assertEqual(report["packing_percent"], 50)
        self.assertEqual(report["attention"][2]["why"], "quarantined: failures")
        self.assertEqual(report["waiting"][0]["why"], "a: quota")
        text = subprocess.run(self.command([entry], "report")[:-2], capture_output=True, check=True, text=True).stdout
        self.assertIn("worker w1", text)
        self.assertRegex(text, "since_at_ms +20")

    def test_token_that_others_may_read_is_not_used(self):
        entry = self.entry(GET___v1__jobs=[(200, {"jobs": []})])
        self.token_file.chmod(0o640)
        code, message = self.run_command([entry], "list")
        self.assertEqual((code, entry.requests), (2, []))
        self.assertIn("chmod 600", message)

    def test_settings_file_gives_entries_and_token(self):
        entry = self.entry(GET___v1__jobs=[(200, {"jobs": []})])
        settings = self.folder / "yuccactl.yaml"
        settings.write_text(f"entries: ['{self.refusing_address}', '{entry.address}']\ntoken_file: {self.token_file}\n")
        done = subprocess.run([YUCCACTL, "list", "--settings", str(settings)], capture_output=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        settings.write_text("entries: [localhost:1]\ntokenfile: x\n")
        done = subprocess.run(
            [YUCCACTL, "--check", "--settings", str(settings)], capture_output=True, check=False, text=True
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn(f"{settings}:1: entries[0]: found 'localhost:1', allowed:", done.stderr)
        self.assertIn(f"{settings}:2: found the unknown key 'tokenfile', allowed: one of entries", done.stderr)


if __name__ == "__main__":
    unittest.main()
