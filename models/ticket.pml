/*
 * Tickets: a request runs at most once, and `not-run` is said only with proof.
 *
 * One ticket, issued by incarnation 1 of the home VM. The caller sends it SENDINGS times, each to the home or to
 * another VM that forwards it; sendings overlap. The home may crash and be replaced (CRASHES times); a connection may
 * fail before or after bytes are written; any message may be lost or come late; an attempt may time out while its
 * request is still on its way; the kept outcome may be forgotten once its retention is over.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m200000
// break: RUN_FOR_DEAD_HOME
// break: IGNORE_INCARNATION
// break: FORGET_BELOW_MARK
// break: RELEASE_AFTER_WRITE
// break: UNREACHABLE_IS_NOT_RUN

#define SENDINGS 3
#define CRASHES  2

mtype = { fresh, inFlight, finished };

byte incarnation = 1;       /* of the home VM's process */
mtype entry = fresh;        /* what the home keeps on the ticket; dies with the process */
byte lowMark = 0;           /* tickets at or below it are never dispatched; the ticket is number 1 */
byte runs = 0;              /* times the service ran the request */
byte onTheWay = 0;          /* copies of the request between a VM and the service */
byte crashes = 0;
bool answered = false;      /* some caller was told `ran` */

/* An answer `not-run` is true if no copy has run or can still arrive. */
inline sayNotRun() { assert(runs == 0 && onTheWay == 0) }

inline sayRan() { answered = true; assert(runs == 1) }

/* The service: takes a copy that was written, or the network loses it. */
active proctype Service() {
end:
    do
    :: atomic { onTheWay > 0 -> onTheWay--; runs++; assert(runs <= 1) }
    :: atomic { onTheWay > 0 -> onTheWay-- }
    od
}

/* One attempt of the incarnation `mine`; it ends silently if that process has died. */
inline attempt() {
    if
    :: atomic {                               /* connection refused: nothing written, the right is given back */
           mine == incarnation -> entry = fresh; sayNotRun()
       }
    :: atomic { mine == incarnation -> onTheWay++ };
       if
       :: atomic { mine == incarnation && runs > 0 -> entry = finished; sayRan() }
       :: atomic { mine == incarnation ->      /* timeout, or the connection broke */
#ifdef RELEASE_AFTER_WRITE
              entry = fresh
#else
              entry = finished                 /* kept as `unknown` */
#endif
          }
       :: mine != incarnation -> skip
       fi
    :: mine != incarnation -> skip
    fi
}

/* A sending that has reached the home: TicketDesk's claim, then the attempt. */
inline atHome() {
    atomic {
        mine = incarnation;
        mayDispatch = false;
        if
#ifdef IGNORE_INCARNATION
        :: entry == fresh && lowMark == 0 -> mayDispatch = true; entry = inFlight
#else
        :: mine == 1 && entry == fresh && lowMark == 0 -> mayDispatch = true; entry = inFlight
#endif
        :: else -> skip                        /* in flight, finished, foreign or below the mark: never dispatched */
        fi
    };
    if
    :: mayDispatch -> attempt()
    :: else -> skip
    fi
}

proctype Sending() {
    byte mine;
    bool mayDispatch;
    if
    :: atHome()                                /* straight to the home, or forwarded to it */
    :: skip                                    /* lost on the way: the caller hears nothing */
    :: atomic {                                /* the other VM can't reach the home */
#ifdef UNREACHABLE_IS_NOT_RUN
           sayNotRun()
#else
           skip                                /* `unknown`, ask again */
#endif
       }
#ifdef RUN_FOR_DEAD_HOME
    :: atomic { onTheWay++ }
#endif
    fi
}

/* Retention is over: the entry goes, and the mark is raised in the same step. */
active proctype Retention() {
end:
    do
    :: atomic {
           entry == finished ->
#ifndef FORGET_BELOW_MARK
           lowMark = 1;
#endif
           entry = fresh
       }
    od
}

active proctype Replacement() {
end:
    do
    :: atomic { crashes < CRASHES -> crashes++; incarnation++; entry = fresh; lowMark = 0 }
    od
}

init {
    byte sent = 0;
    do
    :: sent < SENDINGS -> sent++; run Sending()
    :: else -> break
    od
}
