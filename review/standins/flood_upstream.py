"""An upstream as a process of its own, whose answers may have a body without end.

usage: flood_upstream.py ID

Prints its port, and then a line for each run and each end of an endless answer. After the line `on` on the
standard input, two of five answers are endless until the caller closes the connection; `off` ends this for later
answers. It runs apart from the script, so that the clients are not slowed by the bytes that it sends.
"""

import socket
import sys
import threading

# A chunk of one byte, whose extension no caller needs. No chunk is the last one.
CHUNK = b"1;" + b"y" * 5000 + b"\r\nx\r\n"
BLOCK = CHUNK * 13
BODY = b"done"

# Positions among five answers, so that the share never exceeds 0.4.
ENDLESS_POSITIONS = (2, 4)


class Upstream:
    def __init__(self, identity):
        self.identity = identity
        self.faulty = False
        self.answers = 0  # while it is faulty
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            print(text, flush=True)

    def obey(self):
        for line in sys.stdin:
            self.faulty = line.strip() == "on"

    def next_is_endless(self):
        if not self.faulty:
            return False
        with self.lock:
            self.answers += 1
            return (self.answers - 1) % 5 in ENDLESS_POSITIONS

    def serve(self, connection):
        try:
            file = connection.makefile("rb")
            while (headers := read_request(file)) is not None:
                self.answer(connection, headers)
        except OSError:
            pass
        finally:
            connection.close()

    def answer(self, connection, headers):
        request_id = headers.get("boragehollow-request-id", "")
        expected = headers.get("boragehollow-expected-instance")
        if expected not in (None, self.identity):
            connection.sendall(f"HTTP/1.1 421 X\r\nBoragehollow-Instance-Id: {self.identity}\r\n"
                               "Content-Length: 0\r\n\r\n".encode())
            return
        self.say(f"run {request_id}")
        threading.Event().wait(0.05)
        head = (f"HTTP/1.1 200 OK\r\nBoragehollow-Request-Id: {request_id}\r\n"
                f"Boragehollow-Response-Signature: sig-{self.identity}-{request_id}\r\n").encode()
        if not self.next_is_endless():
            connection.sendall(head + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
            return
        self.say(f"endless {request_id}")
        try:
            connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
            while True:
                connection.sendall(BLOCK)
        finally:
            self.say(f"closed {request_id}")


def read_request(file):
    if not file.readline():
        return None
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    file.read(int(headers.get("content-length", "0")))
    return headers


def main():
    upstream = Upstream(sys.argv[1])
    listener = socket.create_server(("127.0.0.1", 0))
    upstream.say(str(listener.getsockname()[1]))
    threading.Thread(target=upstream.obey, daemon=True).start()
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=upstream.serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
