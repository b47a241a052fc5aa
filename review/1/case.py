"""Requests whose body length is stated twice: is what lies behind the body run as a request?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from fleet import (BROKEN, HELD, TROUBLE, CannotRun, Channel, config_of, new_identifier,
                   read_body, read_head, route, run_case, service)

ROUNDS = 5


def inner_request(identifier):
    return ("POST /tickets/buy HTTP/1.1\r\nHost: shop.example\r\n"
            "Vanilladoor-Attempt-Id: %s\r\nVanilladoor-Deadline-Ms: 1500\r\n"
            "Content-Length: 0\r\n\r\n" % identifier)


def outer_request(identifier, inner, lengths):
    """A request whose Content-Length covers the whole rest, the inner request included."""
    body = "0\r\n\r\n" + inner
    headers = {"length": ["Content-Length: %d" % len(body)],
               "length, then chunked": ["Content-Length: %d" % len(body),
                                        "Transfer-Encoding: chunked"],
               "chunked, then length": ["Transfer-Encoding: chunked",
                                        "Content-Length: %d" % len(body)]}[lengths]
    return ("POST /tickets/buy HTTP/1.1\r\nHost: shop.example\r\n"
            "Vanilladoor-Attempt-Id: %s\r\nVanilladoor-Deadline-Ms: 1500\r\n%s\r\n\r\n%s"
            % (identifier, "\r\n".join(headers), body)).encode()


async def send(fleet, machine, data):
    """Sends the bytes on a channel of its own and returns the statuses of all answers."""
    channel = Channel(machine)
    await channel.open()
    channel.writer.write(data)
    statuses = []
    try:
        while True:
            head = await asyncio.wait_for(read_head(channel.reader), 1)
            if head is None:
                statuses.append("closed")
                break
            await read_body(channel.reader, head)
            statuses.append(head.first.split(" ")[1])
    except asyncio.TimeoutError:
        pass
    channel.close()
    return statuses


async def main(fleet):
    await fleet.start(config_of([route("buy", "/tickets/", "desk", "unsafe", attempts=1)],
                                [service("desk")]))
    runners = [await fleet.runner("desk") for _ in range(2)]
    machine = await fleet.machine("entry-1")
    kinds = ["length, then chunked", "chunked, then length"] if TROUBLE else ["length"]
    sent, smuggled = set(), set()
    for _ in range(ROUNDS):
        for kind in kinds:
            outer, inner = new_identifier(), new_identifier()
            sent.add(outer)
            smuggled.add(inner)
            statuses = await send(fleet, machine,
                                  outer_request(outer, inner_request(inner), kind))
            fleet.record.write("sent", outer, "with", kind, "inside:", inner,
                               "answers:", *statuses)
    run = [identifier for runner in runners for _, identifier in runner.runs]
    if not TROUBLE and not sent <= set(run):
        raise CannotRun("a sound request was not run")
    broken = [identifier for identifier in run if identifier in smuggled]
    fleet.record.write("runs:", len(run), "of requests smuggled inside others:", len(broken))
    print("smuggled: %d, run by a runner: %d" % (len(smuggled), len(broken)))
    return BROKEN if broken else HELD


run_case(os.path.dirname(os.path.abspath(__file__)), main)
