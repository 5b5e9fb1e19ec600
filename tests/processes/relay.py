"""A TCP relay on loopback whose links can be cut, and its answers held or cut short."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
ACCEPT_SECONDS = 5.0


class Relay:
    """Passes bytes between those who connect and `target`, until told to do worse.

    held, cut_short, broken: answers that had to wait, that ended early, and links cut.
    """

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._flowing = threading.Event()
        self._flowing.set()
        self._is_cut = False
        self._cut_after: int | None = None
        self._links: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        self.reset_counts()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_counts(self) -> None:
        """Sets what was counted to zero."""
        self.held = 0
        self.cut_short = 0
        self.broken = 0

    def hold_answers(self) -> None:
        """Requests pass, their answers wait for `mend`."""
        self._flowing.clear()

    def cut_answers(self, after_bytes: int) -> None:
        """Ends the link after the first bytes of each answer."""
        self._cut_after = after_bytes

    def cut(self) -> None:
        """Breaks every link; new ones end at once."""
        with self._lock:
            self._is_cut = True
            links = list(self._links)
        self.broken += len(links)
        for link in links:
            _end(link)

    def silence_open_links(self) -> None:
        """Passes nothing more on the links that are open, without ending them; new ones work."""
        with self._lock:
            self._silent |= self._links

    def mend(self) -> None:
        """Ends every fault; answers that were held come now."""
        with self._lock:
            self._is_cut = False
        self._cut_after = None
        self._flowing.set()

    def close(self) -> None:
        """Ends the relay and its links."""
        self.cut()
        self._flowing.set()
        _end(self._listener)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                near.close()
                continue
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, ACCEPT_SECONDS)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        with self._lock:
            self._links |= {near, far}
        answers = threading.Thread(target=self._pass_answers, args=(far, near), daemon=True)
        answers.start()
        self._pass_requests(near, far)
        answers.join()
        with self._lock:
            self._links -= {near, far}
        near.close()
        far.close()

    def _pass_requests(self, near: socket.socket, far: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := near.recv(CHUNK_BYTES):
                if near not in self._silent:
                    far.sendall(data)
        _end(far)

    def _pass_answers(self, far: socket.socket, near: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := far.recv(CHUNK_BYTES):
                if far in self._silent:
                    continue
                if not self._flowing.is_set():
                    self.held += 1
                    self._flowing.wait()
                cut_after = self._cut_after
                if cut_after is not None:
                    self.cut_short += 1
                    near.sendall(data[:cut_after])
                    break
                near.sendall(data)
        _end(near)
        _end(far)


def _end(link: socket.socket) -> None:
    with contextlib.suppress(OSError):
        link.shutdown(socket.SHUT_RDWR)
