"""HTTP/1.1 as clients, servers and the platform of a case speak it."""

import dataclasses
import socket


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as far as it arrived.

    Attributes:
      status: Status; 0 if no complete head arrived.
      headers: Names in lower case with values.
      body: Body as far as it arrived.
      whole: Whether the body was complete.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = False

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None."""
        return next((v for k, v in self.headers if k == name.lower()), None)


class Reader:
    """Reads lines and parts of a known size from a socket."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.buffer = b""

    def line(self) -> bytes:
        """Returns the next line without its end."""
        while b"\n" not in self.buffer:
            self._more()
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line.rstrip(b"\r")

    def exactly(self, size: int) -> bytes:
        """Returns the next bytes."""
        while len(self.buffer) < size:
            self._more()
        part, self.buffer = self.buffer[:size], self.buffer[size:]
        return part

    def head(self) -> tuple[str, list[tuple[str, str]]]:
        """Returns the first line and the headers."""
        first = self.line().decode("latin-1")
        headers = []
        while line := self.line().decode("latin-1"):
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        return first, headers

    def chunked(self) -> bytes:
        """Returns a body in chunks."""
        body = b""
        while size := int(self.line().split(b";")[0], 16):
            body += self.exactly(size)
            self.line()
        while self.line():
            pass
        return body

    def _more(self) -> None:
        part = self.sock.recv(65_536)
        if not part:
            raise EOFError
        self.buffer += part


def read_answer(reader: Reader, method: str = "GET") -> Answer:
    """Reads one answer from a connection."""
    status, headers, body = 0, [], b""
    try:
        while True:
            first, headers = reader.head()
            status = int(first.split()[1])
            if status >= 200:
                break
        found = dict(headers)
        if method == "HEAD" or status in (204, 304):
            return Answer(status, tuple(headers), b"", True)
        if "chunked" in found.get("transfer-encoding", ""):
            body = reader.chunked()
        elif "content-length" in found:
            body = reader.exactly(int(found["content-length"]))
        else:
            while part := reader.sock.recv(65_536):
                reader.buffer += part
            body = reader.buffer
        return Answer(status, tuple(headers), body, True)
    except (OSError, EOFError, ValueError, IndexError):
        return Answer(status, tuple(headers), reader.buffer, False)


def build_request(method, path, body=b"", headers=()) -> bytes:
    """Builds a request with a body of known length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def call(ip, port, method, path, body=b"", headers=(), timeout_s=5.0) -> Answer:
    """Sends one request on a connection of its own."""
    headers = list(headers)
    if not any(name.lower() == "host" for name, _ in headers):
        headers.insert(0, ("Host", f"{ip}:{port}"))
    try:
        with socket.create_connection((ip, int(port)), timeout_s) as sock:
            sock.sendall(
                build_request(
                    method, path, body, [*headers, ("Connection", "close")]
                )
            )
            return read_answer(Reader(sock), method)
    except OSError:
        return Answer()
