/*
 * A lease with pauses and fencing, before both kinds of engine.
 *
 * Two VMs compete for one lease row (TERMS terms in all). An acquire whose answer is lost is read back: it counts as
 * held only if the row shows it, which the model's single step stands for. A holder may
 * be paused for any time between its check and its order's arrival, so a rival's term may begin at any moment: the
 * model lets it begin whenever it likes, which covers every clock. Orders travel in any order.
 *
 * Engine 0 checks fencing numbers: no order of an older holder takes effect after a newer one's.
 * Engine 1 ignores them: its labels come from what it reports for each chunk, and the current holder's re-assertion
 * converges once the older orders have arrived.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m400000
// break: ENGINE_FORGETS_NUMBER
// break: NUMBER_NOT_RAISED
// break: HELD_WHEN_AMBIGUOUS
// break: LABEL_FROM_ORDER
// break: NO_REASSERTION

#define TERMS   3
#define VMS     2
#define NOBODY  9
#define CHUNKS  2

byte rowNumber = 0;             /* fencing number in the lease's row */
byte rowHolder = NOBODY;
byte terms = 0;
byte holderOf[TERMS + 2];       /* who has ordered under a number */
byte engineNumber = 0;          /* highest number that engine 0 has seen */
byte lastApplied = 0;           /* number of the last order that took effect on engine 0 */
byte version = 0;               /* what engine 1 has loaded: the number of the holder that had it loaded */
byte lastOrdered = 0;           /* what was last ordered of engine 1 */
byte onTheWay[TERMS + 2];       /* orders to engine 1 that have not arrived, by number */
byte working = 0;               /* VMs that still compete */

inline orderFencing(number) {
    atomic {
        if
        :: number < engineNumber -> skip       /* 409 refused */
        :: else ->
#ifndef ENGINE_FORGETS_NUMBER
           engineNumber = number;
#endif
           assert(number >= lastApplied);
           lastApplied = number
        fi
    }
}

/* Engine 1 applies whatever arrives, and generates chunks between orders. */
active proctype IgnoringEngine() {
    byte chunks = 0;
    byte label;
end:
    do
    :: atomic { onTheWay[1] > 0 -> onTheWay[1]--; version = 1 }
    :: atomic { onTheWay[2] > 0 -> onTheWay[2]--; version = 2 }
    :: atomic { onTheWay[3] > 0 -> onTheWay[3]--; version = 3 }
    :: atomic { chunks < CHUNKS ->
           chunks++;
#ifdef LABEL_FROM_ORDER
           label = lastOrdered;
#else
           label = version;                    /* weight_version of the chunk itself */
#endif
           assert(label == version)
       }
    od
}

/* One term: the row changes hands on its version, and its number rises. */
inline acquire() {
    terms++;
#ifdef NUMBER_NOT_RAISED
    rowNumber = 1;
#else
    rowNumber++;
#endif
    rowHolder = me;
    number = rowNumber
}

/* An order, checked just before; it may leave after any pause and arrive after any time. */
inline order() {
    atomic {
        assert(holderOf[number] == NOBODY || holderOf[number] == me);
        holderOf[number] = me
    };
    orderFencing(number);
    atomic { onTheWay[number]++; lastOrdered = number };
    orderFencing(number)
}

#define isAllArrived (onTheWay[1] + onTheWay[2] + onTheWay[3] == 0)

/* The last holder reads back and orders again until the reported version stays. */
inline reassert() {
    do
    :: atomic { version != number && onTheWay[number] == 0 -> onTheWay[number]++; lastOrdered = number }
#ifdef NO_REASSERTION
    :: version == number -> break
#endif
    :: atomic { version == number && isAllArrived && working == 1 -> break }
    od;
    (isAllArrived && working == 1);
    assert(version == rowNumber)
}

proctype Vm(byte me) {
    byte number;
    do
    :: atomic { terms < TERMS -> acquire() };
       order();
       if
       :: atomic { rowHolder == me && rowNumber == number && terms == TERMS -> skip };
          reassert();
          break
       :: atomic { rowHolder != me || rowNumber != number || terms < TERMS -> skip }
       fi
#ifdef HELD_WHEN_AMBIGUOUS
    :: atomic { terms < TERMS && rowNumber < TERMS -> number = rowNumber + 1 };   /* the row was never written */
       order()
#endif
    :: atomic { terms >= TERMS -> break }
    od;
    working--
}

init {
    atomic {
        holderOf[1] = NOBODY;
        holderOf[2] = NOBODY;
        holderOf[3] = NOBODY;
        holderOf[4] = NOBODY;
        working = VMS;
        run Vm(0);
        run Vm(1)
    }
}
