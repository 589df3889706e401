/*
 * Grants under crashes, pauses, partitions, lost and late responses of the store, and reclaim.
 *
 * Two routers acquire grants of one token each from a budget of PAID tokens. A write may be applied
 * and acknowledged, be applied while its response is lost, be lost itself, or be applied late. A
 * router may be declared gone while it still runs, as it was paused or partitioned. Its grants are
 * reclaimed only after the agent has acknowledged that it refuses the router's dispatches, and has
 * billed everything that it ran for the router.
 *
 * Broken variants, each of which the model checker must reject:
 *   -DBROKEN_OPTIMISM   a lost response counts as success
 *   -DBROKEN_EXPIRY     a grant is reclaimed without the agent's acknowledgement
 *   -DBROKEN_UNSETTLED  a grant is reclaimed before the agent has billed what it ran
 */

#define PAID         2
#define ROUTERS      2
#define ACQUISITIONS 2

byte version = 0;              /* version of the budget row */
byte granted = 0;              /* tokens granted, less the tokens returned */
byte granted_to[ROUTERS];      /* tokens on the grant rows of each router in the store */
byte spendable[ROUTERS];       /* tokens that each router considers spendable */
byte running[ROUTERS];         /* tokens dispatched to the agent and not yet billed */
byte billed_by[ROUTERS];       /* tokens billed on grants of each router since its last reclaim */
byte billed = 0;               /* total of the tokens billed */
bool gone[ROUTERS];            /* the platform reports that the router's VM is gone */
bool revoked[ROUTERS];         /* the agent refuses the router's dispatches */
bool reclaimed[ROUTERS];

bool delayed_write[ROUTERS];   /* a write is in flight and may still be applied */
byte delayed_version[ROUTERS];
byte row_exists[ROUTERS];      /* the grant row of the router's current acquisition exists */

inline apply(r, v, ok) {
    if
    :: (v == version && granted < PAID) ->
        granted++; version++; granted_to[r]++; row_exists[r] = 1; ok = true
    :: !(v == version && granted < PAID) -> ok = false
    fi
}

proctype Router(byte r) {
    byte read_version, acquisitions = 0;
    bool ok, unconfirmed;

plan:
    if
    :: acquisitions == ACQUISITIONS -> goto spend
    :: acquisitions < ACQUISITIONS ->
        atomic { read_version = version; unconfirmed = false; row_exists[r] = 0 };
        if
        :: granted >= PAID -> acquisitions = ACQUISITIONS; goto spend
        :: else -> skip
        fi
    fi;

write:
    atomic {
        if
        :: apply(r, read_version, ok);                         /* response received */
            if
            :: ok -> goto credited
            :: !ok && !unconfirmed -> goto plan
            :: !ok && unconfirmed -> goto read_back
            fi
        :: apply(r, read_version, ok); goto response_lost      /* applied or not, response lost */
        :: goto response_lost                                  /* request lost */
        :: !delayed_write[r] ->                                /* request delayed */
            delayed_write[r] = true; delayed_version[r] = read_version; goto response_lost
        fi
    };

response_lost:
#ifdef BROKEN_OPTIMISM
    goto credited;
#endif
    unconfirmed = true;

read_back:
    atomic {
        if
        :: row_exists[r] -> goto credited
        :: !row_exists[r] && version == read_version -> goto write  /* retry the same write */
        :: !row_exists[r] && version != read_version -> goto plan   /* it can never be applied */
        fi
    };

credited:
    atomic { spendable[r]++; acquisitions++ };

spend:
    do
    :: atomic { spendable[r] > 0 && !revoked[r] -> spendable[r]--; running[r]++ }
    :: atomic { spendable[r] > 0 && revoked[r] -> spendable[r]-- }  /* the agent reports not run */
    :: acquisitions < ACQUISITIONS -> goto plan
    :: acquisitions == ACQUISITIONS && spendable[r] == 0 -> break
    :: acquisitions == ACQUISITIONS -> break                        /* crash with unspent tokens */
    od
}

proctype Network() {
    byte r; bool ok;
end:
    do
    :: atomic { delayed_write[0] -> delayed_write[0] = false; apply(0, delayed_version[0], ok) }
    :: atomic { delayed_write[1] -> delayed_write[1] = false; apply(1, delayed_version[1], ok) }
    od
}

proctype Agent() {
end:
    do
    :: atomic { running[0] > 0 -> running[0]--; billed++; billed_by[0]++; assert(billed <= PAID) }
    :: atomic { running[1] > 0 -> running[1]--; billed++; billed_by[1]++; assert(billed <= PAID) }
    od
}

/* Declares router 0 gone at any time, and reclaims its grants once the conditions are met. */
proctype Reclaimer() {
    gone[0] = true;
#ifndef BROKEN_EXPIRY
    revoked[0] = true;                         /* the agent acknowledges the revocation */
#endif
#ifndef BROKEN_UNSETTLED
    running[0] == 0;                           /* everything that it ran is billed */
#endif
    atomic {
        granted = granted - (granted_to[0] - billed_by[0]);
        granted_to[0] = billed_by[0];
        version++;
        reclaimed[0] = true
    }
}

init {
    atomic {
        run Router(0); run Router(1); run Network(); run Agent(); run Reclaimer()
    }
}
