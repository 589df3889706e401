/*
 * A ledger shard's chain, and claims of non-idempotent calls, with retries and two writers.
 *
 * Two writers have a record of the same bill and create segments only under unused numbers. A put
 * may be acknowledged, lose its response, be lost itself, or be applied late. Two routers each have
 * a retry of the same call; the claim decides which router's attempt the agent may start.
 *
 * Broken variants, each of which the model checker must reject:
 *   -DBROKEN_SKIP      after a lost response a writer advances to the next number without a read
 *   -DBROKEN_DOUBT     a call is dispatched although its claim is unconfirmed
 *   -DBROKEN_RELEASE   a claim is released without a tombstone of the attempt at the agent
 */

#define SEGMENTS 4
#define NONE     255

byte segment[SEGMENTS] = NONE;   /* writer that created the segment with this number */
byte records_of_bill = 0;        /* number of segments that contain the bill */
byte delayed_put[2] = NONE;      /* segment number of a put in flight */

byte claim = NONE;               /* attempt that holds the claim */
bool released = false;
bool tombstone[2];               /* the agent refuses this attempt */
bool dispatched[2];              /* a dispatch to the agent is in flight */
byte runs = 0;                   /* number of executions of the call */
bool reported_not_run[2];        /* the caller received the result that the call was not run */
bool started[2];

inline create(w, n, ok) {
    if
    :: segment[n] == NONE ->
        segment[n] = w; records_of_bill++; assert(records_of_bill <= 1); ok = true
    :: segment[n] != NONE -> ok = false
    fi
}

proctype Writer(byte w) {
    byte n = 0; bool ok;

catch_up:
    atomic {
        if
        :: n < SEGMENTS && segment[n] != NONE -> goto recorded   /* it has the bill: done */
        :: n < SEGMENTS && segment[n] == NONE -> skip
        :: n >= SEGMENTS -> goto recorded
        fi
    };

put:
    atomic {
        if
        :: create(w, n, ok);                                     /* response received */
            if
            :: ok -> goto recorded
            :: !ok -> goto catch_up
            fi
        :: create(w, n, ok); goto response_lost                  /* response lost */
        :: goto response_lost                                    /* request lost */
        :: delayed_put[w] == NONE -> delayed_put[w] = n; goto response_lost
        fi
    };

response_lost:
#ifdef BROKEN_SKIP
    n++;
#endif
    goto catch_up;

recorded:
    skip
}

proctype DelayedPuts() {
    bool ok;
end:
    do
    :: atomic { delayed_put[0] != NONE -> create(0, delayed_put[0], ok); delayed_put[0] = NONE }
    :: atomic { delayed_put[1] != NONE -> create(1, delayed_put[1], ok); delayed_put[1] = NONE }
    od
}

/* One retry of the call at one router; its attempt id is the router's number. */
proctype Caller(byte a) {
    byte tries = 0;

insert:
    atomic {
        if
        :: claim == NONE || released ->                  /* response received */
            claim = a; released = false; goto acquired
        :: claim == NONE || released ->                  /* response lost */
            claim = a; released = false; goto unconfirmed
        :: goto unconfirmed                              /* request lost */
        :: claim != NONE && !released && claim != a -> goto held_by_other
        :: claim == a && !released -> goto acquired
        fi
    };

unconfirmed:
#ifdef BROKEN_DOUBT
    goto acquired;
#endif
    atomic {
        if
        :: claim == a && !released -> goto acquired
        :: claim != NONE && claim != a && !released -> goto held_by_other
        :: (claim == NONE || released) && tries < 2 -> tries++; goto insert
        :: (claim == NONE || released) && tries >= 2 -> goto claim_failed
        fi
    };

acquired:
    dispatched[a] = true;
    if
    :: started[a] -> goto finish                     /* the agent responds */
    :: tombstone[a] -> goto release                  /* the agent reports that it was not run */
    :: atomic {                                      /* a query closes an attempt not started */
#ifndef BROKEN_RELEASE
           !started[a] -> tombstone[a] = true
#else
           !started[a] -> skip
#endif
       };
       goto release
    :: goto finish                                   /* outcome unknown: never run again */
    fi;

release:
    atomic {
        if
        :: claim == a -> released = true
        :: claim != a -> skip                        /* another router has released it */
        fi;
        reported_not_run[a] = true;
        goto finish
    };

claim_failed:
    reported_not_run[a] = true;
    goto finish;

held_by_other:
    atomic {                                         /* a query closes the holder's attempt */
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
               started[0] = true; runs++; assert(runs <= 1); assert(!reported_not_run[0])
       }
    :: atomic {
           dispatched[1] && !started[1] && !tombstone[1] ->
               started[1] = true; runs++; assert(runs <= 1); assert(!reported_not_run[1])
       }
    od
}

init {
    atomic {
        run Writer(0); run Writer(1); run DelayedPuts();
        run Caller(0); run Caller(1); run Agent()
    }
}
