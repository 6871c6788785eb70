#!/usr/bin/env python3
"""Writes the hand-chosen inputs of the corpora: make_corpus.py DIRECTORY."""

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


def number(value):
    return struct.pack(">I", value)


def quad(value):
    return struct.pack(">q", value)


def opaque(data):
    return number(len(data)) + data + b"\0" * (-len(data) % 4)


def call(program, procedure, args):
    return struct.pack(">10I", 1, 0, 2, program, 1, procedure,
                       0, 0, 0, 0) + args


def reply(result):
    return struct.pack(">6I", 1, 1, 0, 0, 0, 0) + result


VERSION = quad(7) + b"\xaa" * 32
CRASH = struct.pack(">QQIII", 1, 2, 3, 0, 1000)
ANNOUNCE = (opaque(b"h1") + opaque(b"127.0.0.1:7003") + quad(1) + VERSION
            + VERSION + quad(-1) + number(1) + CRASH)
HEADERS = number(1) + opaque(b"Accept") + opaque(b"*/*")
REQUEST = (opaque(b"portal") + opaque(b"orders") + VERSION + opaque(b"POST")
           + opaque(b"/portal/orders") + HEADERS + quad(2000) + number(25)
           + number(2) + opaque(b"c") + number(0) + opaque(b"") + quad(1)
           + opaque(b"body"))
ANSWER = (struct.pack(">6I", 0, 200, 1, 0, 1, 10) + quad(900) + CRASH
          + HEADERS + opaque(b"body"))

WIRE = {
    "announce": call(CONTROL, 1, ANNOUNCE),
    "announce-reply": reply(ANNOUNCE),
    "get-manifest": call(CONTROL, 2, VERSION),
    "get-part": call(CONTROL, 3, b"\xbb" * 32),
    "value": reply(number(1) + opaque(b"{}")),
    "request": call(TRAFFIC, 1, REQUEST),
    "answer": reply(ANSWER),
    "cancel": call(TRAFFIC, 2, number(5)),
    "hello": call(TRAFFIC, 5, opaque(b"h1") + quad(1) + number(0)),
    "length-without-bytes": call(TRAFFIC, 1, opaque(b"p") + number(63)),
    "body-longer-than-record": reply(
        struct.pack(">6I", 0, 200, 1, 0, 1, 10) + quad(900) + CRASH
        + number(0) + number(67108864)),
    "error": struct.pack(">6I", 1, 1, 0, 0, 0, 4),
    "denied": struct.pack(">6I", 1, 1, 1, 0, 2, 2),
}


def announce(host, version):
    """Event 0 with catalogued versions; see fuzz_announce.c."""
    return bytes([0, host, host, 1, version, version, 0, 0, 5, 0])


LIST = bytes([7, 1, 4])
TURN = bytes([6])
# Answers each of the first calls with the right value.
ANSWERS = b"".join(bytes([2, i, 0]) for i in range(8))

# Calls after the first announcement: 0 ANNOUNCE to the seed, 1 GET_MANIFEST,
# then 2 and 3 GET_PART. Choice 200 answers with a part of another version.
MANIFEST = bytes([2, 1, 0])
ROOT = bytes([2, 2, 0])

EVENTS = {
    "accept-at-once": announce(1, 1) + MANIFEST + ROOT + bytes([2, 3, 0]),
    "wrong-part": announce(1, 1) + MANIFEST + ROOT + bytes([2, 3, 200])
                  + TURN + bytes([2, 4, 0]),
    "refuse-at-once": announce(1, 4) + MANIFEST + ROOT + bytes([2, 3, 0]),
    "accept": LIST + announce(1, 1) + (ANSWERS + TURN) * 4,
    "refuse": LIST + announce(2, 4) + (ANSWERS + TURN) * 4,
    "same-number": LIST + (announce(1, 5) + ANSWERS + TURN) * 3
                   + (announce(3, 6) + ANSWERS + TURN) * 3,
    "source": (TURN + bytes([2, 0, 3])) * 30,
    "number-max": LIST + bytes([0, 1, 1, 1, 128, 127]) + b"\xff" * 7
                  + bytes([0, 128, 255]) + b"\xff" * 8 + TURN * 4,
    "pause": LIST + announce(1, 1) + bytes([5, 255, 255]) + ANSWERS,
}

CORPORA = {"manifest": MANIFESTS, "hosts": HOSTS, "text": TEXTS,
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
