/*
 * The ledger's chain and the claims of non-idempotent calls, with retries and two writers.
 *
 * Two writers hold a record of the same bill and create segments only under free numbers. A put may
 * be answered, lose its answer, vanish, or take effect late. Two routers hold a retry of the same
 * call; the claim decides whose attempt the agent may start.
 *
 * Broken variants, each of which the checker must reject:
 *   -DBROKEN_SKIP      after a lost answer a writer goes to the next number without reading back
 *   -DBROKEN_DOUBT     a call is dispatched although its claim is in doubt
 *   -DBROKEN_RELEASE   a claim is released without a tombstone of the attempt at the agent
 */

#define SLOTS 4
#define NONE  255

byte slot[SLOTS] = NONE;     /* writer whose segment has this number */
byte copies = 0;             /* segments that hold the bill */
byte late_slot[2] = NONE;    /* a put on its way */

byte claim = NONE;           /* attempt that has the claim */
bool released = false;
bool tombstone[2];           /* the agent refuses this attempt */
bool dispatched[2];          /* a dispatch is on its way to the agent */
byte runs = 0;               /* how often the call ran */
bool told_not_run[2];
bool started[2];

inline create(w, n, ok) {
    if
    :: slot[n] == NONE -> slot[n] = w; copies++; assert(copies <= 1); ok = true
    :: slot[n] != NONE -> ok = false
    fi
}

proctype Writer(byte w) {
    byte n = 0; bool ok;

catch_up:
    atomic {
        if
        :: n < SLOTS && slot[n] != NONE -> goto kept     /* the bill is there: done */
        :: n < SLOTS && slot[n] == NONE -> skip
        :: n >= SLOTS -> goto kept
        fi
    };

put:
    atomic {
        if
        :: create(w, n, ok);
            if
            :: ok -> goto kept
            :: !ok -> goto catch_up
            fi
        :: create(w, n, ok); goto lost
        :: goto lost
        :: late_slot[w] == NONE -> late_slot[w] = n; goto lost
        fi
    };

lost:
#ifdef BROKEN_SKIP
    n++;
#endif
    goto catch_up;

kept:
    skip
}

proctype LatePuts() {
    bool ok;
end:
    do
    :: atomic { late_slot[0] != NONE -> create(0, late_slot[0], ok); late_slot[0] = NONE }
    :: atomic { late_slot[1] != NONE -> create(1, late_slot[1], ok); late_slot[1] = NONE }
    od
}

/* One retry of the call at one router; its attempt id is the router's number. */
proctype Caller(byte a) {
    byte tries = 0;

insert:
    atomic {
        if
        :: claim == NONE || released -> claim = a; released = false; goto mine    /* answered */
        :: claim == NONE || released -> claim = a; released = false; goto doubt   /* lost */
        :: goto doubt                                                             /* vanished */
        :: claim != NONE && !released && claim != a -> goto existing
        :: claim == a && !released -> goto mine
        fi
    };

doubt:
#ifdef BROKEN_DOUBT
    goto mine;
#endif
    atomic {
        if
        :: claim == a && !released -> goto mine
        :: claim != NONE && claim != a && !released -> goto existing
        :: (claim == NONE || released) && tries < 2 -> tries++; goto insert
        :: (claim == NONE || released) && tries >= 2 -> goto unclaimed
        fi
    };

mine:
    dispatched[a] = true;
    if
    :: started[a] -> goto finish                     /* the agent answers */
    :: tombstone[a] -> goto give_back                /* the agent said not run */
    :: atomic {                                      /* ask, which closes an attempt not started */
#ifndef BROKEN_RELEASE
           !started[a] -> tombstone[a] = true
#else
           !started[a] -> skip
#endif
       };
       goto give_back
    :: goto finish                                   /* outcome unknown: never run again */
    fi;

give_back:
    atomic {
        if
        :: claim == a -> released = true
        :: claim != a -> skip                        /* somebody else released it */
        fi;
        told_not_run[a] = true;
        goto finish
    };

unclaimed:
    told_not_run[a] = true;
    goto finish;

existing:
    atomic {                                         /* ask the claim's agent, which closes it */
        if
        :: claim != a && claim != NONE && !released && !started[claim] ->
            tombstone[claim] = true;
            released = true;
            goto insert
        :: goto finish
        fi
    };

finish:
    skip
}

proctype Agent() {
end:
    do
    :: atomic {
           dispatched[0] && !started[0] && !tombstone[0] ->
               started[0] = true; runs++; assert(runs <= 1); assert(!told_not_run[0])
       }
    :: atomic {
           dispatched[1] && !started[1] && !tombstone[1] ->
               started[1] = true; runs++; assert(runs <= 1); assert(!told_not_run[1])
       }
    od
}

init {
    atomic {
        run Writer(0); run Writer(1); run LatePuts();
        run Caller(0); run Caller(1); run Agent()
    }
}
