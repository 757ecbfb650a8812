"""A proxy for HTTP calls in one direction, which can be cut, and can hold one order back and deliver it late."""

import socket
import threading
import time


def read_message(stream):
    """Reads one HTTP message with a Content-Length. Returns its bytes, or None at the end of the stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = stream.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        part = stream.recv(65536)
        if not part:
            return None
        body += part
    return head + b"\r\n\r\n" + body


class Link:
    """Listens at `address` and calls `target`. While `cut` is set, nothing passes in either direction, and what was on its
    way is lost."""

    def __init__(self, address, target):
        self.target, self.cut = target, False
        self.wanted = None  # Tells of a request whether it is to be delivered late.
        self.late_s, self.on_late = 0.0, None
        self.server = socket.create_server(address)
        self.address = self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def hold_back(self, wanted, late_s, on_late):
        """The next request for which `wanted(bytes)` holds gets no answer and is delivered after `late_s`."""
        self.wanted, self.late_s, self.on_late = wanted, late_s, on_late

    def accept(self):
        while True:
            client, _ = self.server.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        upstream = None
        try:
            while True:
                request = read_message(client)
                if request is None:
                    return
                if self.cut:
                    self.stay_silent(client)
                    return
                if self.wanted and self.wanted(request):
                    self.wanted = None
                    threading.Thread(target=self.deliver_late, args=(request,), daemon=True).start()
                    self.stay_silent(client)
                    return
                if upstream is None:
                    upstream = socket.create_connection(self.target, timeout=5)
                upstream.sendall(request)
                answer = read_message(upstream)
                if answer is None:
                    return
                if self.cut:
                    self.stay_silent(client)
                    return
                client.sendall(answer)
        except OSError:
            pass
        finally:
            client.close()
            if upstream:
                upstream.close()

    @staticmethod
    def stay_silent(client):
        while client.recv(65536):
            pass

    def deliver_late(self, request):
        time.sleep(self.late_s)
        with socket.create_connection(self.target, timeout=5) as upstream:
            upstream.sendall(request)
            answer = read_message(upstream)
        self.on_late(answer.split(b"\r\n", 1)[0].decode() if answer else "no answer")
