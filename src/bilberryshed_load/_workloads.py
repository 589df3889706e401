"""What the two users' callers ask, as described by them."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryshed.state import Sheet
from bilberryshed_load._callers import Question

MANIFEST_LINE = "Load {n}: {t} t road salt, depot {d} to {e}, gate {g}, axle limit {t} t.\n"
WIRING_MANUAL = "".join(
    f"{n}. લેમ્પ સેન્સરનો તાર {n} ફ્યુઝ {n % 7} સાથે જોડો; પછી લેન {n % 13} તપાસો.\n"
    for n in range(1, 60)
)
PLACES = ("Inverness", "Aviemore", "Wick", "Kelso", "Hawick", "Peebles")
FAULTS = ("ફ્યુઝ ઊડી ગયો", "દીવો ઝબકે છે", "સેન્સર બંધ છે", "તાર કપાયો છે")


@dataclass(slots=True, frozen=True)
class Mix:
    """Shares of the kinds of request; the rest are short questions."""

    long: float = 0.15
    bookings: float = 0.1


def questions(deployment: str, sheet: Sheet, seed: int, mix: Mix) -> Iterator[Question]:
    """Yield the deployment's questions without end, the same ones for the same seed."""
    chooser = random.Random(seed)
    names = list(sheet.customers)
    weights = [customer.weight for customer in sheet.customers.values()]
    number = 0
    while True:
        number += 1
        customer = chooser.choices(names, weights)[0]
        draw = chooser.random()
        key = f"{deployment}-{seed}-{number}"
        if draw < mix.bookings:
            yield _booking(deployment, customer, key, number)
        elif draw < mix.bookings + mix.long:
            yield _long(deployment, sheet, customer, key, number, chooser)
        else:
            yield _short(deployment, customer, key, number, chooser)


def _booking(deployment: str, customer: str, key: str, number: int) -> Question:
    service = "booking" if deployment == "cairnbrae" else "visits"
    return Question(customer, key, service, body=f'{{"visit": {number}}}'.encode())


def _long(
    deployment: str, sheet: Sheet, customer: str, key: str, number: int, chooser: random.Random
) -> Question:
    if deployment == "cairnbrae":
        prompt = "Route notes for this manifest.\n" + "".join(
            MANIFEST_LINE.format(
                n=f"{number}-{line}",
                t=chooser.randint(8, 40),
                d=chooser.choice(PLACES),
                e=chooser.choice(PLACES),
                g=chooser.randint(1, 9),
            )
            for line in range(chooser.randint(10, 60))
        )
        wanted = "dispatch"
    else:
        log = "".join(f"{minute}: {chooser.choice(FAULTS)}\n" for minute in range(30))
        prompt = f"{WIRING_MANUAL}\n{number}\n{log}"
        wanted = "installers"
    services = sheet.customers[customer].services
    service = wanted if wanted in services else services[0]
    return Question(customer, key, service, prompt=prompt, max_tokens=64)


def _short(
    deployment: str, customer: str, key: str, number: int, chooser: random.Random
) -> Question:
    if deployment == "cairnbrae":
        prompt = f"Is the road to {chooser.choice(PLACES)} open? ({number})"
        return Question(customer, key, "drivers", prompt=prompt, max_tokens=32)
    prompt = f"મારો દીવો કેમ ઝબકે છે? {chooser.choice(FAULTS)} ({number})"
    return Question(customer, key, "members", prompt=prompt, max_tokens=32)
