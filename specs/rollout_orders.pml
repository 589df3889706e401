/*
 * Acceptance and rollout of sheets, and orders under a fenced lease.
 *
 * Two planners submit on the same base; answers may be lost. Routers hear versions from the store
 * and from each other in any order. Two planners of engine orders hold a lease one after the other;
 * the first may be paused and act late. The agent may restart and forgets what it saw; it reads the
 * number in force from the store before it takes an order.
 *
 * Broken variants, each of which the checker must reject:
 *   -DBROKEN_BLIND    a submission does not check its base
 *   -DBROKEN_LATEST   a router puts in force whatever it hears last
 *   -DBROKEN_RESTART  a restarted agent accepts the first number that it hears
 */

#define NONE 255

byte head = 1;               /* accepted version */
byte accepted_on_base = 0;   /* submissions accepted on base 1 */
byte in_force[2] = 1;

byte lease = 1;              /* fencing number in force, by the store */
byte last_effect = 0;        /* highest fencing number whose order took effect */
byte known = 0;              /* what the agent knows */
bool agent_reads = true;

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
            :: head == 1 -> head = 2 + s; accepted_on_base++       /* answer lost: read back */
            :: head == 2 + s -> done = true                        /* ours was accepted */
            :: head != 1 && head != 2 + s -> done = true           /* conflict */
#endif
            :: skip                                                /* vanished */
            fi;
            assert(accepted_on_base <= 1)
        }
    od
}

/* Versions are compared by the store's order; both successors of base 1 count as version 2. */
#define ORDER(v) ((v) == 1 -> 1 : 2)

proctype Router(byte r) {
    byte heard, before, steps = 0;
    do
    :: steps == 4 -> break
    :: steps < 4 ->
        steps++;
        if
        :: heard = head                  /* polls the store */
        :: heard = in_force[1 - r]       /* hears a peer */
        fi;
        atomic {
            before = in_force[r];
#ifdef BROKEN_LATEST
            in_force[r] = heard;
#else
            if
            :: ORDER(heard) > ORDER(in_force[r]) -> in_force[r] = heard
            :: else -> skip
            fi;
#endif
            assert(ORDER(in_force[r]) >= ORDER(before))
        }
    od
}

/* Gives orders under the number that it was granted, perhaps long after the lease has passed on. */
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
            :: agent_reads -> known = (lease > known -> lease : known); agent_reads = false
#else
            :: agent_reads -> agent_reads = false
#endif
            :: !agent_reads -> skip
            fi;
            if
            :: number >= known ->
                known = number;
                assert(number >= last_effect);
                last_effect = number
            :: number < known -> skip        /* refused */
            fi
        }
    od
}

proctype Restarts() {
    byte times = 0;
    do
    :: times == 2 -> break
    :: times < 2 -> atomic { times++; known = 0; agent_reads = true }
    od
}

init {
    atomic {
        run Submitter(0); run Submitter(1); run Router(0); run Router(1);
        run Planner(1); run Planner(0); run Restarts()
    }
}
