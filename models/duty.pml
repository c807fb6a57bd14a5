/*
 * Calls to the platform under a lease: two VMs that may stand still at any moment, answers of the store and of the
 * platform that get lost, calls that take a while to arrive, and a platform that ignores fencing numbers. One report
 * stands for those of all windows: a VM may collect other counts each time that it tries.
 *
 * Times are ages that grow with each tick up to the bound they are compared with, so the clock has no end. A VM that is
 * not scheduled while the clock ticks is frozen. A call is sent only within WINDOW of a renewal that was sent and seen
 * committed, and after a change of holder only QUIET after the last change by another holder that was seen. A call that
 * takes TRANSIT is abandoned and its connection reset, so that it arrives before that or never. The platform does not
 * count a call whose sender was frozen between the check and the call, so these are one step.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m2000000
// break: NO_STORE_FIX
// break: NO_SILENCE
// break: NO_CHECK
// break: NUMBER_REUSED
// break: COUNTED_FROM_ANSWER
// break: NO_RESET

#define TERMS    3
#define NOBODY   9
#define DURATION 2            /* a row unchanged for so long may be taken */
#define WINDOW   1
#define TRANSIT  2
#define SILENCE  2            /* between the calls of two holders as they arrive */
#define QUIET    5            /* WINDOW + TRANSIT + SILENCE */

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

/* The report as fixed in the store; 0 for none. */
byte fixedReport = 0;

/* The call of each VM that is on its way */
bool isOnItsWay[2];
byte callAge[2];
byte callNumber[2];
byte callReport[2];

/* The platform */
byte lastHolder = NOBODY;
byte lastNumber = 0;
byte lastAge = SILENCE;
byte reported = 0;

inline grow(age, bound) {
    if
    :: age < bound -> age++
    :: else
    fi
}

inline tickAt(vm) {
    grow(seenAge[vm], DURATION); grow(foreignAge[vm], QUIET); grow(renewedAge[vm], WINDOW); grow(sentAge[vm], WINDOW);
    grow(callAge[vm], TRANSIT);
    mayAsk[vm] = true;
#ifndef NO_RESET
    if
    :: isOnItsWay[vm] && callAge[vm] >= TRANSIT -> isOnItsWay[vm] = false; callNumber[vm] = 0; callReport[vm] = 0
    :: else
    fi
#endif
}

active proctype Time() {
end:
    do
    :: atomic { true -> grow(lastAge, SILENCE); tickAt(0); tickAt(1) }
    od
}

inline arrive(vm) {
    isOnItsWay[vm] = false;
    assert(lastHolder == NOBODY || lastHolder == vm || lastAge >= SILENCE);
    assert(callNumber[vm] >= lastNumber && (callNumber[vm] > lastNumber || lastHolder == vm));
    assert(reported == 0 || reported == callReport[vm]);
    lastHolder = vm; lastNumber = callNumber[vm]; lastAge = 0; reported = callReport[vm];
    callNumber[vm] = 0; callReport[vm] = 0
}

active proctype Network() {
end:
    do
    :: atomic { isOnItsWay[0] -> arrive(0) }
    :: atomic { isOnItsWay[1] -> arrive(1) }
    od
}

/* DutyLease, LeaseContender and UsageReporter at one VM */
proctype Vm(byte self) {
    byte myNumber = 0;
    byte known = 0;
    bool isFirst = true;
    bool holds = false;
    bool isTaken = false;
    bool isAnswered = false;
    bool isChecked = false;
end:
    do
    /* DutyLease::read */
    :: atomic { hasChanged[self] ->
       hasChanged[self] = false; seenAge[self] = 0; isFirst = false;
       if
       :: holder != self -> foreignAge[self] = 0; holds = false
       /* A write whose answer was lost is read back; only a renewal lets it call again. */
       :: holder == self -> holds = true; myNumber = number
       fi }
    /* DutyLease::commit: take the lease, or renew it; the clock is read before the write is sent */
    :: atomic { (mayAsk[self] && (holds || holder == NOBODY
                 || (holder != self && seenAge[self] >= DURATION && number < TERMS))) ->
       sentAge[self] = 0; mayAsk[self] = false }
       atomic {
           isTaken = !hasChanged[self];
           if
           :: isTaken && holder != self ->
#ifdef NUMBER_REUSED
              if
              :: number == 0 -> number = 1
              :: else
              fi;
#else
              number++;
#endif
              holder = self; hasChanged[1 - self] = true
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
    /* UsageReporter::takeOver, fix: the report that stands in the store counts; the answer may be lost */
    :: atomic { (holds && known == 0) ->
#ifdef NO_STORE_FIX
       if
       :: known = 1
       :: known = 2
       fi
#else
       if
       :: fixedReport == 0 -> fixedReport = 1
       :: fixedReport == 0 -> fixedReport = 2
       :: else
       fi;
       if
       :: known = fixedReport
       :: true
       fi
#endif
       }
    /* A process that ends forgets the report. */
    :: atomic { (known != 0 && !holds) -> known = 0; isChecked = false }
    /* DutyLease::fencingNumber, UsageReporter::send */
    :: atomic { (known != 0 && !isOnItsWay[self]
#ifdef NO_CHECK
                 && isChecked
#else
                 && holds && renewedAge[self] < WINDOW
#ifndef NO_SILENCE
                 && (isFirst || foreignAge[self] >= QUIET)
#endif
#endif
                 ) ->
       isOnItsWay[self] = true; callAge[self] = 0; callNumber[self] = myNumber; callReport[self] = known }
#ifdef NO_CHECK
    /* The lease is looked at once, when the report is begun. */
    :: atomic { (known != 0 && holds && !isChecked && renewedAge[self] < WINDOW
                 && (isFirst || foreignAge[self] >= QUIET)) -> isChecked = true }
#endif
    od
}

init {
    atomic { run Vm(0); run Vm(1) }
}
