#!/usr/bin/env python3
"""free_ports.py COUNT: prints the first of COUNT ports in a row that are free on 127.0.0.1, below the ephemeral ones."""
import random
import socket
import sys


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


count = int(sys.argv[1])
while True:
    first = random.randrange(10000, 32000 - count, 200)
    if all(is_free(port) for port in range(first, first + count)):
        print(first)
        break
