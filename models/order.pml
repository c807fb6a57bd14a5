/*
 * Orders to one engine under a lease: two VMs that may stand still at any moment, answers of the store that get lost,
 * orders that are held up on their way, and an engine that ignores fencing numbers and may restart under its id.
 *
 * Times are ages that grow with each tick up to the bound they are compared with, so the clock has no end. A VM that is
 * not scheduled while the clock ticks is frozen. A VM orders only within WINDOW of a renewal that it sent and saw
 * committed, and after a change of holder only WINDOW + SILENCE after the last change by another holder that it saw.
 * Orders that were held up don't count as turns of a holder; they must not undo a newer one. After a restart of the
 * engine one may: the engine's report shows the older weights, and they are ordered again.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m2000000
// break: NO_WINDOW
// break: NO_SILENCE
// break: NO_EXPECTED_COUNT
// break: COUNTED_FROM_ANSWER
// break: CLOCK_STANDS_STILL

#define TERMS    3
#define NOBODY   9
#define DURATION 2            /* a row unchanged for so long may be taken */
#define WINDOW   1
#define SILENCE  3            /* between the orders of two holders */
#define QUIET    4            /* WINDOW + SILENCE */

/* The lease's row; hasChanged says that a VM has not seen its last version. */
byte holder = NOBODY;
byte number = 0;
bool hasChanged[2];

/* Ages at each VM: the row as seen, the last change by another, the last renewal, the write under way. */
byte seenAge[2];
byte foreignAge[2];
byte renewedAge[2];
byte sentAge[2];
bool mayAsk[2];

/* The engine */
byte lastHolder = NOBODY;
byte lastNumber = 0;
byte lastAge = SILENCE;
byte newestAccepted = 0;

/* An order that is held up; it names as many orders as the engine had accepted. */
bool isHeldUp = false;
bool isExpected = false;
bool isBeforeRestart = false;
byte heldNumber = 0;

inline accept(orderNumber) {
    assert(orderNumber >= newestAccepted);
    newestAccepted = orderNumber;
    isExpected = false
}

inline grow(age, bound) {
    if
    :: age < bound -> age++
    :: else
    fi
}

inline tickAt(vm) {
    grow(seenAge[vm], DURATION); grow(foreignAge[vm], QUIET); grow(renewedAge[vm], WINDOW); grow(sentAge[vm], WINDOW);
    mayAsk[vm] = true
}

active proctype Time() {
end:
    do
    :: atomic { true ->
       grow(lastAge, SILENCE);
#ifdef CLOCK_STANDS_STILL
       if
       :: tickAt(0)
       :: skip
       fi;
       if
       :: tickAt(1)
       :: skip
       fi
#else
       tickAt(0); tickAt(1)
#endif
    }
    od
}

active proctype Network() {
end:
    do
    :: atomic { isHeldUp ->
       isHeldUp = false;
       if
       :: isBeforeRestart -> newestAccepted = 0; isBeforeRestart = false
#ifdef NO_EXPECTED_COUNT
       :: !isBeforeRestart -> accept(heldNumber)
#else
       :: !isBeforeRestart && isExpected -> accept(heldNumber)
#endif
       :: else
       fi;
       heldNumber = 0; isExpected = false }
    od
}

/* A restart of the engine: it has no memory of orders. */
active proctype Restart() {
    atomic { isBeforeRestart = isHeldUp; newestAccepted = 0 }
}

/* DutyLease and LeaseContender at one VM */
proctype Vm(byte self) {
    byte myNumber = 0;
    bool isFirst = true;
    bool holds = false;
    bool isTaken = false;
    bool isAnswered = false;
end:
    do
    /* DutyLease::read */
    :: atomic { hasChanged[self] ->
       hasChanged[self] = false; seenAge[self] = 0; isFirst = false;
       if
       :: holder != self -> foreignAge[self] = 0; holds = false
       /* A write whose answer was lost is read back; only a renewal lets it order again. */
       :: holder == self -> holds = true; myNumber = number
       fi }
    /* DutyLease::commit: take the lease, or renew it; the clock is read before the write is sent */
    :: atomic { (mayAsk[self] && (holds || holder == NOBODY
                 || (holder != self && seenAge[self] >= DURATION && number < TERMS))) ->
       sentAge[self] = 0; mayAsk[self] = false }
       atomic {
           isTaken = !hasChanged[self];
           if
           :: isTaken && holder != self -> number++; holder = self; hasChanged[1 - self] = true
           :: isTaken && holder == self -> hasChanged[1 - self] = true
           :: else
           fi;
           if
           :: isAnswered = true
           :: hasChanged[self] = hasChanged[self] || isTaken
           fi
       }
       atomic {
           if
           :: isTaken && isAnswered ->
#ifdef COUNTED_FROM_ANSWER
              renewedAge[self] = 0;
#else
              renewedAge[self] = sentAge[self];
#endif
              holds = true; myNumber = number
           :: else -> holds = false
           fi;
           isTaken = false; isAnswered = false; sentAge[self] = WINDOW
       }
    /* DutyLease::fencingNumber, WeightLoader::sendOrder */
    :: atomic { (holds
#ifndef NO_WINDOW
                 && renewedAge[self] < WINDOW
#endif
#ifndef NO_SILENCE
                 && (isFirst || foreignAge[self] >= QUIET)
#endif
                 ) ->
       if
       :: assert(lastHolder == NOBODY || lastHolder == self || lastAge >= SILENCE);
          assert(myNumber >= lastNumber && (myNumber > lastNumber || lastHolder == self));
          lastHolder = self; lastNumber = myNumber; lastAge = 0;
          accept(myNumber)
       :: !isHeldUp ->
          isHeldUp = true; isExpected = true; isBeforeRestart = false; heldNumber = myNumber
       fi }
    od
}

init {
    atomic { run Vm(0); run Vm(1) }
}
