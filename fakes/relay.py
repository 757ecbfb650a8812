"""TCP relay that simulates silent partitions: connections stay open, and bytes are held back in one or both
directions."""

import socket
import threading

CHUNK_BYTES = 65536


class Relay:
    """Relays connections from `listen` to `target`, both (host, port).

    `silence("forward" | "backward" | "both" | "none")` applies at once to open and to new connections."""

    def __init__(self, listen, target):
        self._target = target
        self._listener = socket.create_server(listen)
        self.address = self._listener.getsockname()
        self._silent = "none"
        self._lock = threading.Condition()
        self._sockets = {self._listener}
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, direction):
        with self._lock:
            self._silent = direction
            self._lock.notify_all()

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
                server = socket.create_connection(self._target)
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
