/*
 * A caller's own Idempotency-Key: claimed by a conditional row before dispatch.
 *
 * Two VMs receive sendings of one key (SENDINGS in all). A commit may be refused, conflict, or be ambiguous: then it may
 * have taken effect, may still take effect later, or never. Each VM may crash once between any two steps; its claim
 * stays. Each commit carries an operation id (its sending's number) that stands in the row.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m400000
// break: DISPATCH_WHEN_AMBIGUOUS
// break: TAKE_OVER_DEAD_CLAIM
// break: AMBIGUOUS_IS_NOT_RUN
// break: WRITE_WITHOUT_CONDITION
// break: OUTAGE_IS_NOT_RUN

#define SENDINGS 3
#define VMS      2
#define NOBODY   0

byte row = NOBODY;          /* operation id in the claim's row: the sending that claimed it */
bool isRowFinished = false; /* the outcome stands in the row */
byte runs = 0;
byte onTheWay = 0;          /* copies of the request between a VM and the service */
bool late[SENDINGS + 1];    /* commits that may still take effect */
byte incarnation[VMS];
bool hasSeen[VMS];          /* the VM's process has handled a sending of the key */
bool mayStillRun = false;   /* a sending has the right to dispatch and has not used it */

inline sayNotRun() { assert(runs == 0 && onTheWay == 0 && !mayStillRun) }

inline takeEffect(operation) {
#ifdef WRITE_WITHOUT_CONDITION
    row = operation
#else
    if
    :: row == NOBODY -> row = operation
    :: else -> skip
    fi
#endif
}

active proctype Service() {
end:
    do
    :: atomic { onTheWay > 0 -> onTheWay--; runs++; assert(runs <= 1) }
    :: atomic { onTheWay > 0 -> onTheWay-- }
    od
}

/* An ambiguous commit that arrives late. */
active proctype Network() {
    byte which;
end:
    do
    :: atomic { late[1] -> late[1] = false; which = 1; takeEffect(which) }
    :: atomic { late[2] -> late[2] = false; which = 2; takeEffect(which) }
    :: atomic { late[3] -> late[3] = false; which = 3; takeEffect(which) }
    od
}

/* What a VM's process remembers of the key; it dies with the process. */
inline see() { hasSeen[vm] = true }

inline dispatch() {
    if
    :: atomic { !isDead -> onTheWay++; mayStillRun = false };
       if
       :: atomic { runs > 0 -> isRowFinished = true }   /* the outcome is written back; `ran` */
       :: skip                                            /* timeout: `unknown`, the claim stays */
       fi
    :: atomic { !isDead -> mayStillRun = false;           /* connection refused: nothing written */
           row = NOBODY; sayNotRun() }                    /* the claim is given back on its version */
    :: atomic { isDead -> mayStillRun = false }           /* the process died with its claim */
    fi
}

/* `mine` claims and dispatches, or answers by what stands in the row. */
proctype Sending(byte mine; byte vm) {
    byte born = incarnation[vm];
    bool isDead = false;
    bool isHeld = false;
    bool isAmbiguous = false;
    /* commit on version 0; each way but the outage begins with this VM having seen the key */
    if
    :: atomic { row == NOBODY -> see(); row = mine; isHeld = true; mayStillRun = true }
#ifdef WRITE_WITHOUT_CONDITION
    :: atomic { row != NOBODY -> see(); row = mine; isHeld = true; mayStillRun = true }
#endif
    :: atomic { row != NOBODY -> see() }                  /* conflict: somebody else's claim */
    :: atomic { see(); takeEffect(mine); isAmbiguous = true }    /* took effect if it could; the answer is lost */
    :: atomic { see(); late[mine] = true; isAmbiguous = true }   /* may take effect later */
    :: atomic { see(); isAmbiguous = true }               /* never arrived; no answer either */
    :: atomic {                                           /* the table is out: `not-run` needs every VM's word */
           if
           :: !hasSeen[0] && !hasSeen[1] && incarnation[0] == 0 && incarnation[1] == 0 -> sayNotRun()
#ifdef OUTAGE_IS_NOT_RUN
           :: sayNotRun()
#endif
           :: else -> skip                                /* `unknown`, ask again */
           fi;
           goto done
       }
    fi;
    if
    :: isAmbiguous ->
#ifdef DISPATCH_WHEN_AMBIGUOUS
       atomic { isHeld = true; mayStillRun = true }
#else
#ifdef AMBIGUOUS_IS_NOT_RUN
       atomic { sayNotRun(); goto done }
#else
       /* read back the operation id; if it can't be read, `unknown` */
       if
       :: atomic { row == mine -> isHeld = true; mayStillRun = true }
       :: atomic { row != mine -> goto done }             /* `unknown` or the other's outcome */
       :: goto done                                       /* the store is out: `unknown` */
       fi
#endif
#endif
    :: else -> skip
    fi;
    atomic { isDead = (born != incarnation[vm]) };
    if
    :: isHeld -> dispatch()
    :: else ->
#ifdef TAKE_OVER_DEAD_CLAIM
       atomic {
           if
           :: !isRowFinished && row != NOBODY -> row = mine; isHeld = true; mayStillRun = true
           :: else -> skip
           fi
       };
       if
       :: isHeld -> dispatch()
       :: else -> skip
       fi
#else
       skip                                               /* finished: the first answer; else `unknown` */
#endif
    fi;
done:
    skip
}

active proctype Replacement() {
end:
    do
    :: atomic { incarnation[0] == 0 -> incarnation[0] = 1; hasSeen[0] = false }
    :: atomic { incarnation[1] == 0 -> incarnation[1] = 1; hasSeen[1] = false }
    od
}

init {
    byte sent = 0;
    do
    :: sent < SENDINGS ->
       sent++;
       if
       :: run Sending(sent, 0)
       :: run Sending(sent, 1)
       fi
    :: else -> break
    od
}
