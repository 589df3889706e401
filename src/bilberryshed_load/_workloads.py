"""Request workloads of the two users' callers, after the users' descriptions."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryshed.state import Sheet
from bilberryshed_load._callers import LoadRequest

MANIFEST_LINE = "Load {n}: {t} t road salt, depot {d} to {e}, gate {g}, axle limit {t} t.\n"
WIRING_MANUAL = "".join(
    f"{n}. લેમ્પ સેન્સરનો તાર {n} ફ્યુઝ {n % 7} સાથે જોડો; પછી લેન {n % 13} તપાસો.\n"
    for n in range(1, 60)
)
PLACES = ("Inverness", "Aviemore", "Wick", "Kelso", "Hawick", "Peebles")
FAULTS = ("ફ્યુઝ ઊડી ગયો", "દીવો ઝબકે છે", "સેન્સર બંધ છે", "તાર કપાયો છે")


@dataclass(slots=True, frozen=True)
class RequestMix:
    """Shares of the kinds of requests; the rest are short completions."""

    long: float = 0.15
    bookings: float = 0.1


def generate_requests(
    deployment: str, sheet: Sheet, seed: int, mix: RequestMix
) -> Iterator[LoadRequest]:
    """Yield requests of a deployment without end; the same seed yields the same requests."""
    rng = random.Random(seed)
    names = list(sheet.customers)
    weights = [customer.weight for customer in sheet.customers.values()]
    number = 0
    while True:
        number += 1
        customer = rng.choices(names, weights)[0]
        draw = rng.random()
        key = f"{deployment}-{seed}-{number}"
        if draw < mix.bookings:
            yield _booking_request(deployment, customer, key, number)
        elif draw < mix.bookings + mix.long:
            yield _long_completion(deployment, sheet, customer, key, number, rng)
        else:
            yield _short_completion(deployment, customer, key, number, rng)


def _booking_request(deployment: str, customer: str, key: str, number: int) -> LoadRequest:
    service = "booking" if deployment == "cairnbrae" else "visits"
    return LoadRequest(customer, key, service, body=f'{{"visit": {number}}}'.encode())


def _long_completion(
    deployment: str, sheet: Sheet, customer: str, key: str, number: int, rng: random.Random
) -> LoadRequest:
    if deployment == "cairnbrae":
        prompt = "Route notes for this manifest.\n" + "".join(
            MANIFEST_LINE.format(
                n=f"{number}-{line}",
                t=rng.randint(8, 40),
                d=rng.choice(PLACES),
                e=rng.choice(PLACES),
                g=rng.randint(1, 9),
            )
            for line in range(rng.randint(10, 60))
        )
        preferred = "dispatch"
    else:
        log = "".join(f"{minute}: {rng.choice(FAULTS)}\n" for minute in range(30))
        prompt = f"{WIRING_MANUAL}\n{number}\n{log}"
        preferred = "installers"
    services = sheet.customers[customer].services
    service = preferred if preferred in services else services[0]
    return LoadRequest(customer, key, service, prompt=prompt, max_tokens=64)


def _short_completion(
    deployment: str, customer: str, key: str, number: int, rng: random.Random
) -> LoadRequest:
    if deployment == "cairnbrae":
        prompt = f"Is the road to {rng.choice(PLACES)} open? ({number})"
        return LoadRequest(customer, key, "drivers", prompt=prompt, max_tokens=32)
    prompt = f"મારો દીવો કેમ ઝબકે છે? {rng.choice(FAULTS)} ({number})"
    return LoadRequest(customer, key, "members", prompt=prompt, max_tokens=32)
