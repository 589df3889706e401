/*
 * Acceptance and rollout of sheets, and orders under a lease with fencing numbers.
 *
 * Two submitters submit a sheet on the same base version; responses may be lost. Routers receive
 * versions from the store and from each other in any order. Two planners of engine orders hold a
 * lease one after the other; the first may be paused and send orders late. The agent may restart
 * and lose its state; it reads the current fencing number from the store before it accepts orders.
 *
 * Broken variants, each of which the model checker must reject:
 *   -DBROKEN_BLIND    a submission does not check its base version
 *   -DBROKEN_LATEST   a router activates the version that it received last
 *   -DBROKEN_RESTART  a restarted agent accepts the first number that it receives
 */

#define NONE 255

byte head = 1;                 /* accepted version */
byte accepted_on_base = 0;     /* number of submissions accepted on base version 1 */
byte active_version[2] = 1;    /* active version of each router */

byte lease = 1;                /* current fencing number in the store */
byte last_effect = 0;          /* highest fencing number whose order was carried out */
byte highest_seen = 0;         /* highest fencing number that the agent has seen */
bool must_read = true;         /* the agent must read the fencing number before the next order */

proctype Submitter(byte s) {
    bool done = false;
    byte tries = 0;
    do
    :: done || tries == 3 -> break
    :: !done && tries < 3 ->
        tries++;
        atomic {
            if
#ifdef BROKEN_BLIND
            :: head = head + 1; accepted_on_base++; done = true
#else
            :: head == 1 -> head = 2 + s; accepted_on_base++; done = true
            :: head == 1 -> head = 2 + s; accepted_on_base++       /* response lost: read back */
            :: head == 2 + s -> done = true                        /* this sheet was accepted */
            :: head != 1 && head != 2 + s -> done = true           /* conflict */
#endif
            :: skip                                                /* request lost */
            fi;
            assert(accepted_on_base <= 1)
        }
    od
}

/* Versions are compared in the order of the store; both successors of base 1 count as version 2. */
#define ORDER(v) ((v) == 1 -> 1 : 2)

proctype Router(byte r) {
    byte received, before, steps = 0;
    do
    :: steps == 4 -> break
    :: steps < 4 ->
        steps++;
        if
        :: received = head                     /* polls the store */
        :: received = active_version[1 - r]    /* receives the version of a peer */
        fi;
        atomic {
            before = active_version[r];
#ifdef BROKEN_LATEST
            active_version[r] = received;
#else
            if
            :: ORDER(received) > ORDER(active_version[r]) -> active_version[r] = received
            :: else -> skip
            fi;
#endif
            assert(ORDER(active_version[r]) >= ORDER(before))
        }
    od
}

/* Issues orders under its fencing number, possibly long after the lease was acquired by another. */
proctype Planner(byte first) {
    byte number, orders = 0;
    if
    :: first -> number = 1
    :: !first -> atomic { lease = 2; number = 2 }
    fi;
    do
    :: orders == 2 -> break
    :: orders < 2 ->
        orders++;
        atomic {
            if
#ifndef BROKEN_RESTART
            :: must_read ->
                highest_seen = (lease > highest_seen -> lease : highest_seen); must_read = false
#else
            :: must_read -> must_read = false
#endif
            :: !must_read -> skip
            fi;
            if
            :: number >= highest_seen ->
                highest_seen = number;
                assert(number >= last_effect);
                last_effect = number
            :: number < highest_seen -> skip        /* refused */
            fi
        }
    od
}

proctype Restarts() {
    byte restarts = 0;
    do
    :: restarts == 2 -> break
    :: restarts < 2 -> atomic { restarts++; highest_seen = 0; must_read = true }
    od
}

init {
    atomic {
        run Submitter(0); run Submitter(1); run Router(0); run Router(1);
        run Planner(1); run Planner(0); run Restarts()
    }
}
