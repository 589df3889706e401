/*
 * Grants under crash, pause, partition, lost and late store answers, and reclaim.
 *
 * Two routers take grants of one token each from a budget of PAID tokens. A write may be answered,
 * may take effect and lose its answer, may vanish, or may take effect late. A router may be declared
 * gone while it still runs (it was paused or cut off). Its grant is reclaimed only after the agent
 * has acknowledged that it refuses the router and has billed what it ran for it.
 *
 * Broken variants, each of which the checker must reject:
 *   -DBROKEN_OPTIMISM   a lost answer counts as success
 *   -DBROKEN_EXPIRY     a grant is reclaimed without the agent's acknowledgement
 *   -DBROKEN_UNSETTLED  a grant is reclaimed before the agent has billed what it ran
 */

#define PAID    2
#define ROUTERS 2
#define TAKES   2

byte version = 0;           /* of the budget row */
byte granted = 0;           /* tokens granted, less what was returned */
byte held[ROUTERS];         /* tokens on grant rows of each router, by the store */
byte owned[ROUTERS];        /* tokens that each router believes it may spend */
byte running[ROUTERS];      /* tokens dispatched to the agent and not billed */
byte billed_by[ROUTERS];    /* tokens billed on grants of each router since its last reclaim */
byte billed = 0;            /* tokens billed in all */
bool gone[ROUTERS];         /* the platform says that the router's VM is gone */
bool refused[ROUTERS];      /* the agent refuses the router's dispatches */
bool reclaimed[ROUTERS];

bool late_pending[ROUTERS]; /* a write is on its way and may still take effect */
byte late_version[ROUTERS];
byte row_exists[ROUTERS];   /* grant row of the router's present take */

inline apply(r, v, ok) {
    if
    :: (v == version && granted < PAID) ->
        granted++; version++; held[r]++; row_exists[r] = 1; ok = true
    :: !(v == version && granted < PAID) -> ok = false
    fi
}

proctype Router(byte r) {
    byte seen, takes = 0;
    bool ok, doubtful;

plan:
    if
    :: takes == TAKES -> goto spend
    :: takes < TAKES -> atomic { seen = version; doubtful = false; row_exists[r] = 0 };
        if
        :: granted >= PAID -> takes = TAKES; goto spend
        :: else -> skip
        fi
    fi;

write:
    atomic {
        if
        :: apply(r, seen, ok);              /* answered */
            if
            :: ok -> goto credited
            :: !ok && !doubtful -> goto plan
            :: !ok && doubtful -> goto readback
            fi
        :: apply(r, seen, ok); goto lost    /* took effect or not, answer lost */
        :: goto lost                        /* vanished */
        :: !late_pending[r] -> late_pending[r] = true; late_version[r] = seen; goto lost
        fi
    };

lost:
#ifdef BROKEN_OPTIMISM
    goto credited;
#endif
    doubtful = true;

readback:
    atomic {
        if
        :: row_exists[r] -> goto credited
        :: !row_exists[r] && version == seen -> goto write     /* the same write again */
        :: !row_exists[r] && version != seen -> goto plan      /* it can never take effect */
        fi
    };

credited:
    atomic { owned[r]++; takes++ };

spend:
    do
    :: atomic { owned[r] > 0 && !refused[r] -> owned[r]--; running[r]++ }
    :: atomic { owned[r] > 0 && refused[r] -> owned[r]-- }     /* the agent says not run */
    :: takes < TAKES -> goto plan
    :: takes == TAKES && owned[r] == 0 -> break
    :: takes == TAKES -> break                                 /* crash with tokens in hand */
    od
}

proctype Network() {
    byte r; bool ok;
end:
    do
    :: atomic { late_pending[0] -> late_pending[0] = false; apply(0, late_version[0], ok) }
    :: atomic { late_pending[1] -> late_pending[1] = false; apply(1, late_version[1], ok) }
    od
}

proctype Agent() {
end:
    do
    :: atomic { running[0] > 0 -> running[0]--; billed++; billed_by[0]++; assert(billed <= PAID) }
    :: atomic { running[1] > 0 -> running[1]--; billed++; billed_by[1]++; assert(billed <= PAID) }
    od
}

/* Declares router 0 gone, at any moment, and reclaims its grants on evidence. */
proctype Reclaimer() {
    gone[0] = true;
#ifndef BROKEN_EXPIRY
    refused[0] = true;                         /* the agent acknowledges the revocation */
#endif
#ifndef BROKEN_UNSETTLED
    running[0] == 0;                           /* what it ran is billed */
#endif
    atomic {
        granted = granted - (held[0] - billed_by[0]);
        held[0] = billed_by[0];
        version++;
        reclaimed[0] = true
    }
}

init {
    atomic {
        run Router(0); run Router(1); run Network(); run Agent(); run Reclaimer()
    }
}
