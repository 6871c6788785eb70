#!/usr/bin/env python3
"""Writes the seed inputs of the fuzz corpora: make_corpus.py DIRECTORY.

The input NAME of the program fuzz_TARGET is DIRECTORY/TARGET/corpus/NAME.
"""

import json
import os
import struct
import sys


def manifest(version=7, parts=None, **extra):
    if parts is None:
        parts = [part("root", "a"), part("service/a", "b")]
    return json.dumps(
        {"format": 1, "version": version, "parts": parts, **extra},
        separators=(",", ":")).encode()


def part(name, digit, size=9):
    return {"name": name, "digest": digit * 64, "bytes": size}


MANIFESTS = {
    "two-parts": manifest(),
    "no-root": manifest(parts=[part("service/a", "b")]),
    "not-sorted": manifest(parts=[part("service/a", "b"), part("root", "a")]),
    "unknown-key": manifest(other=1),
    "number-max": manifest(version=2 ** 53 - 1),
    "number-too-high": manifest(version=2 ** 53),
    "bytes-max": manifest(parts=[part("root", "a", 2 ** 63 - 1),
                                 part("service/a", "b", 2 ** 63 - 1)]),
    "same-digest": manifest(parts=[part("root", "a"), part("service/a", "a")]),
    "part-not-object": manifest(parts=[1, "root", None]),
    "text": b"{\"format\":1,",
    "utf8-token": b'{"a":' + "\u00e9".encode(),
}


def host(name="h1", **changes):
    return {"host": name, "zone": "z1", "region": "r",
            "control": "127.0.0.1:7003", "state": "live", **changes}


def hosts(*entries, **extra):
    return json.dumps({"revision": 3, "hosts": entries, **extra},
                      separators=(",", ":")).encode()


HOSTS = {
    "empty": hosts(),
    "two": hosts(host(), host("h0", state="leaving")),
    "twice": hosts(host(), host()),
    "state": hosts(host(state="gone")),
    "long-name": hosts(host("h" * 64)),
    "control": hosts(host(control="")),
    "not-objects": hosts(1, None, []),
    "no-revision": b'{"hosts":[]}',
    "utf8-token": b'{"revision":' + "\u00e9".encode(),
}

TEXTS = {
    "ticket": b"g1.h1.0123456789abcdef.1796378400000." + b"0f" * 16,
    "ticket-expiry-max": b"g1.h.0000000000000000.9223372036854775807."
                         + b"00" * 16,
    "ticket-leading-zero": b"g1.h1.0123456789abcdef.01." + b"0f" * 16,
    "context": b"deadline=1796378400000;hops=25;retries=2",
    "context-leading-zero": b"deadline=01;hops=25;retries=2",
    "ipv4": b"127.0.0.1:7001",
    "ipv6": b"[fe80::1]:7001",
    "ipv4-in-brackets": b"[127.0.0.1]:80",
    "port-vertical-tab": b"[80::1]:\v7001",
    "port-leading-zero": b"127.0.0.1:080",
}

CONTROL, TRAFFIC = 0x20474f44, 0x20474f45


def uint(value):
    return struct.pack(">I", value)


def hyper(value):
    return struct.pack(">q", value)


def opaque(data):
    return uint(len(data)) + data + b"\0" * (-len(data) % 4)


def call(program, procedure, args):
    return struct.pack(">10I", 1, 0, 2, program, 1, procedure,
                       0, 0, 0, 0) + args


def reply(result):
    return struct.pack(">6I", 1, 1, 0, 0, 0, 0) + result


VERSION = hyper(7) + b"\xaa" * 32
CRASH = struct.pack(">QQIII", 1, 2, 3, 0, 1000)
ANNOUNCE = (opaque(b"h1") + opaque(b"127.0.0.1:7003") + hyper(1) + VERSION
            + VERSION + hyper(-1) + uint(1) + CRASH)
HEADERS = uint(1) + opaque(b"Accept") + opaque(b"*/*")
REQUEST = (opaque(b"portal") + opaque(b"orders") + VERSION + opaque(b"POST")
           + opaque(b"/portal/orders") + HEADERS + hyper(2000) + uint(25)
           + uint(2) + opaque(b"c") + uint(0) + opaque(b"") + hyper(1)
           + opaque(b"body"))
ANSWER = (struct.pack(">6I", 0, 200, 1, 0, 1, 10) + hyper(900) + CRASH
          + HEADERS + opaque(b"body"))

WIRE = {
    "announce": call(CONTROL, 1, ANNOUNCE),
    "announce-reply": reply(ANNOUNCE),
    "get-manifest": call(CONTROL, 2, VERSION),
    "get-part": call(CONTROL, 3, b"\xbb" * 32),
    "value": reply(uint(1) + opaque(b"{}")),
    "request": call(TRAFFIC, 1, REQUEST),
    "answer": reply(ANSWER),
    "cancel": call(TRAFFIC, 2, uint(5)),
    "hello": call(TRAFFIC, 5, opaque(b"h1") + hyper(1) + uint(0)),
    "length-without-bytes": call(TRAFFIC, 1, opaque(b"p") + uint(63)),
    "body-longer-than-record": reply(
        struct.pack(">6I", 0, 200, 1, 0, 1, 10) + hyper(900) + CRASH
        + uint(0) + uint(67108864)),
    "error": struct.pack(">6I", 1, 1, 0, 0, 0, 4),
    "denied": struct.pack(">6I", 1, 1, 1, 0, 2, 2),
}


def announce(host, version):
    """Returns event 0 of fuzz_announce.c with known versions."""
    return bytes([0, host, host, 1, version, version, 0, 0, 5, 0])


# Event 7: applies host list revision 1 with 4 hosts.
HOST_LIST = bytes([7, 1, 4])
# Event 6: advances the clock to the next deadline.
ADVANCE = bytes([6])
# Completes each of the first eight calls with the requested value.
RESULTS = b"".join(bytes([2, i, 0]) for i in range(8))

# After the first announcement the daemon makes these calls: 0 is ANNOUNCE to
# the seed peer, 1 is GET_MANIFEST, 2 and 3 are GET_PART. A completion event
# holds its kind 2, the call and a choice. Choice 200 gives a part of another
# version.
MANIFEST = bytes([2, 1, 0])
ROOT = bytes([2, 2, 0])

EVENTS = {
    "accept-at-once": announce(1, 1) + MANIFEST + ROOT + bytes([2, 3, 0]),
    "wrong-part": announce(1, 1) + MANIFEST + ROOT + bytes([2, 3, 200])
                  + ADVANCE + bytes([2, 4, 0]),
    "refuse-at-once": announce(1, 4) + MANIFEST + ROOT + bytes([2, 3, 0]),
    "accept": HOST_LIST + announce(1, 1) + (RESULTS + ADVANCE) * 4,
    "refuse": HOST_LIST + announce(2, 4) + (RESULTS + ADVANCE) * 4,
    "same-number": HOST_LIST + (announce(1, 5) + RESULTS + ADVANCE) * 3
                   + (announce(3, 6) + RESULTS + ADVANCE) * 3,
    "source": (ADVANCE + bytes([2, 0, 3])) * 30,
    "number-max": HOST_LIST + bytes([0, 1, 1, 1, 128, 127]) + b"\xff" * 7
                  + bytes([0, 128, 255]) + b"\xff" * 8 + ADVANCE * 4,
    "pause": HOST_LIST + announce(1, 1) + bytes([5, 255, 255]) + RESULTS,
}

# The first byte tells requests (odd) from responses, and the length of pieces.
REQUEST_BYTE, RESPONSE_BYTE = b"\x03", b"\x02"


def response(fields=b"Content-Length: 3\r\n", body=b"abc",
             start=b"HTTP/1.1 200 OK"):
    return RESPONSE_BYTE + start + b"\r\n" + fields + b"\r\n" + body


def post(fields=b"Content-Length: 3\r\n", body=b"abc",
         start=b"POST /a HTTP/1.1"):
    return (REQUEST_BYTE + start + b"\r\nHost: x\r\n" + fields + b"\r\n"
            + body)


CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"3;a=b\r\nabc\r\n0\r\nTrailer: x\r\n\r\n"

MESSAGES = {
    "response": response(),
    "response-chunked": response(CHUNKED_FIELD, CHUNKS),
    "response-to-close": response(b""),
    "response-interim": response(b"", b"", b"HTTP/1.1 103 Early Hints"),
    "response-304": response(start=b"HTTP/1.1 304 Not Modified", body=b""),
    "response-no-reason": response(start=b"HTTP/1.1 200 "),
    "status-000": response(start=b"HTTP/1.1 000 No"),
    "status-20": response(start=b"HTTP/1.1 20 No"),
    "status-101": response(b"", b"", b"HTTP/1.1 101 No"),
    "status-600": response(start=b"HTTP/1.1 600 No"),
    "version-2": response(start=b"HTTP/2.0 200 OK"),
    "version-icy": response(start=b"ICY 200 OK"),
    "first-line-folded": response(b" A: x\r\nContent-Length: 3\r\n"),
    "folded": response(b"A: x\r\n y\r\nContent-Length: 3\r\n"),
    "name-blank": response(b"A b: x\r\nContent-Length: 3\r\n"),
    "name-control": response(b"A\x01: x\r\nContent-Length: 3\r\n"),
    "colon-blank": response(b"Content-Length : 3\r\n"),
    "value-nul": response(b"A: x\0\r\nContent-Length: 3\r\n"),
    "bare-cr": response(b"A: x\ry\r\nContent-Length: 3\r\n"),
    "bare-lf": response(b"A: x\nContent-Length: 3\r\n"),
    "length-list": response(b"Content-Length: 3, 3\r\n"),
    "length-twice": response(b"Content-Length: 3\r\n" * 2),
    "length-sign": response(b"Content-Length: +3\r\n"),
    "coding-unknown": response(b"Transfer-Encoding: gzip\r\n"),
    "coding-list": response(b"Transfer-Encoding: gzip, chunked\r\n", CHUNKS),
    "chunk-blank": response(CHUNKED_FIELD, b"3 \r\nabc\r\n0\r\n\r\n"),
    "chunk-sign": response(CHUNKED_FIELD, b"+3\r\nabc\r\n0\r\n\r\n"),
    "chunk-long": response(CHUNKED_FIELD, b"0" * 20 + b"3\r\nabc\r\n"),
    "chunk-lf": response(CHUNKED_FIELD, b"3\nabc\r\n0\r\n\r\n"),
    "request": post(),
    "request-chunked": post(CHUNKED_FIELD, CHUNKS),
    "request-absolute": post(start=b"POST http://x/a HTTP/1.1"),
    "request-other-authority": post(start=b"POST http://y/a HTTP/1.1"),
    "request-connect": post(b"", b"", b"CONNECT x:80 HTTP/1.1"),
    "request-options": post(b"", b"", b"OPTIONS * HTTP/1.1"),
    "request-both": post(CHUNKED_FIELD + b"Content-Length: 3\r\n", CHUNKS),
    "request-host-twice": post(b"Host: y\r\n", b""),
    "request-old": REQUEST_BYTE + b"GET /\r\n\r\n",
    "request-empty-lines": REQUEST_BYTE + b"\r\n\r\nGET / HTTP/1.0\r\n\r\n",
}

CORPORA = {"http": MESSAGES, "manifest": MANIFESTS, "hosts": HOSTS, "text": TEXTS,
           "wire": WIRE, "announce": EVENTS}


def main():
    for target, inputs in CORPORA.items():
        directory = os.path.join(sys.argv[1], target, "corpus")
        os.makedirs(directory, exist_ok=True)
        for name, data in inputs.items():
            with open(os.path.join(directory, name), "wb") as out:
                out.write(data)


if __name__ == "__main__":
    main()
