"""TCP relay that simulates a bad network: silent partitions, in which connections stay open while bytes are held back
in one or both directions, delays and resets."""

import socket
import threading
import time

CHUNK_BYTES = 65536


class Relay:
    """Relays connections from `listen` to `target`, both (host, port).

    `silence("forward" | "backward" | "both" | "none")` applies at once to open and to new connections, `delay_s` to all
    bytes that arrive from now on."""

    def __init__(self, listen, target):
        self.target = target
        self._listener = socket.create_server(listen)
        self.address = self._listener.getsockname()
        self._silent = "none"
        self.delay_s = 0.0
        self._lock = threading.Condition()
        self._sockets = {self._listener}
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, direction):
        with self._lock:
            self._silent = direction
            self._lock.notify_all()

    def reset(self):
        """Closes all open connections."""
        with self._lock:
            sockets = self._sockets - {self._listener}
        for sock in sockets:
            _shut(sock)

    def close(self):
        with self._lock:
            self._closed = True
            sockets = list(self._sockets)
            self._lock.notify_all()
        for sock in sockets:
            _shut(sock)

    def _accept(self):
        while not self._closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._wait_while_silent(forward=True)
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            with self._lock:
                self._sockets |= {client, server}
            for arguments in ((client, server, True), (server, client, False)):
                threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def _copy(self, source, target, forward):
        try:
            while data := source.recv(CHUNK_BYTES):
                time.sleep(self.delay_s)
                self._wait_while_silent(forward)
                target.sendall(data)
        except OSError:
            pass
        self._wait_while_silent(forward)
        for sock in (source, target):
            _shut(sock)
        with self._lock:
            self._sockets -= {source, target}

    def _wait_while_silent(self, forward):
        held = {"both", "forward" if forward else "backward"}
        with self._lock:
            self._lock.wait_for(lambda: self._closed or self._silent not in held)


def _shut(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
