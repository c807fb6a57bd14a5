/*
 * A job's head and its results in the store: accepted by VMs whose answers get lost, run by owners that take it over from
 * each other at any moment, listed, and ended by the trainer.
 *
 * Every write of the head is conditional on its version. A write is answered, refused, carried out without an answer, or
 * carried out later if its condition still holds. A VM may lose its memory at any step. A VM may believe at any moment
 * that the owner is silent, which covers every clock and every freeze.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m2000000
// break: REFUSED_WHEN_UNKNOWN
// break: NO_CONDITION
// break: NEW_WRITE_AFTER_LOST_ANSWER
// break: TAKEN_OVER_WITHOUT_READING

#define VMS    2
#define ITEMS  2
#define NOBODY 9

mtype = { WRITTEN, CONFLICT, UNKNOWN, REFUSED };

/* The head's row; version 0 says that it is absent. */
byte version = 0;
byte owner = NOBODY;
byte listed = 0;
bool isEnded = false;
byte writes = 0;
/* The result rows: which item stands at each position. */
byte resultAt[ITEMS];

/* A write that the store carries out later, if its condition still holds. */
bool isLate = false;
byte lateCondition; byte lateOwner; byte lateListed; bool lateEnded; byte lateWrites; byte lateItem;
byte latesLeft = 1;

/* What the trainer was told. */
bool isAccepted = false;
bool isRefused = false;

byte claimsLeft = 1;
byte lossesLeft = 1;

inline apply(condition, newOwner, newListed, newEnded, newWrites, item) {
    assert(condition != 0 || !isRefused);
    assert(!isEnded || newEnded);
    if
    :: item != 0 ->
       assert(resultAt[newListed - 1] == 0);
       assert(resultAt[0] != item && resultAt[1] != item);
       resultAt[newListed - 1] = item
    :: else
    fi;
    version++;
    owner = newOwner; listed = newListed; isEnded = newEnded; writes = newWrites
}

/* JobStore::write */
inline commit(condition, newOwner, newListed, newEnded, newWrites, item, outcome) {
    atomic {
        if
        :: outcome = REFUSED
        :: latesLeft > 0 && !isLate ->
           latesLeft--; isLate = true; lateCondition = condition; lateOwner = newOwner; lateListed = newListed;
           lateEnded = newEnded; lateWrites = newWrites; lateItem = item;
           outcome = UNKNOWN
        :: true ->
           if
#ifdef NO_CONDITION
           :: version == condition || (item != 0 && newListed <= ITEMS) ->
#else
           :: version == condition ->
#endif
              apply(condition, newOwner, newListed, newEnded, newWrites, item);
              if
              :: outcome = WRITTEN
              :: outcome = UNKNOWN
              fi
           :: else ->
              if
              :: outcome = CONFLICT
              :: outcome = UNKNOWN
              fi
           fi
        fi
    }
}

active proctype LateWrite() {
end:
    do
    :: atomic { isLate ->
       isLate = false;
       if
       :: version == lateCondition -> apply(lateCondition, lateOwner, lateListed, lateEnded, lateWrites, lateItem)
       :: else
       fi
    }
    od
}

/* JobService::accept at one VM after the other, as the trainer asks */
active proctype Submission() {
    byte vm = 0;
    byte tries;
    bool mayHaveLanded;
    bool wasOnlyRefused = true;
    mtype outcome;
    do
    :: vm == VMS || isAccepted -> break
    :: else ->
       tries = 0; mayHaveLanded = false;
       do
       :: commit(0, vm, 0, false, 0, 0, outcome);
          if
          :: outcome == WRITTEN || outcome == CONFLICT ->
             atomic { assert(version > 0); isAccepted = true; break }
          :: outcome == UNKNOWN -> mayHaveLanded = true
          :: else
          fi;
          tries++;
          if
#ifdef REFUSED_WHEN_UNKNOWN
          :: true -> break
#else
          :: !mayHaveLanded -> break
#endif
          :: tries == 2 -> wasOnlyRefused = false; break
          :: mayHaveLanded && tries < 2
          fi
       od;
       vm++
    od;
    atomic {
        if
        :: !isAccepted && wasOnlyRefused -> assert(version == 0); isRefused = true
        :: else
        fi
    }
}

/* JobRunner and JobOwner at one VM */
proctype Vm(byte self) {
    bool runs = false;
    byte known; byte knownListed; byte knownWrites;
    bool isDone[3];
    byte item;
    byte seen; byte seenListed; byte seenWrites;
    bool seenEnded;
    mtype outcome;
end:
    do
    /* JobOwner::observeHead, takeOver: the head names this VM */
    :: atomic { !runs && version > 0 && owner == self && !isEnded && listed < ITEMS ->
       runs = true; known = version; knownListed = listed; knownWrites = writes;
#ifdef TAKEN_OVER_WITHOUT_READING
       isDone[1] = false; isDone[2] = false
#else
       isDone[1] = (resultAt[0] == 1 || resultAt[1] == 1); isDone[2] = (resultAt[0] == 2 || resultAt[1] == 2)
#endif
    }
    /* JobOwner::claim: the owner is believed to be silent */
    :: atomic { !runs && claimsLeft > 0 && version > 0 && owner != self && !isEnded && listed < ITEMS ->
       claimsLeft--;
       seen = version; seenListed = listed; seenWrites = writes; seenEnded = isEnded }
       commit(seen, self, seenListed, seenEnded, seenWrites + 1, 0, outcome);
       atomic { seen = 0; seenListed = 0; seenWrites = 0; outcome = 0 }
    /* JobRunner::writeHead: an item has been generated, maybe at several VMs; one write, repeated until it is known what
       became of it */
    :: atomic { runs && (!isDone[1] || !isDone[2]) ->
       if
       :: !isDone[1] -> item = 1
       :: !isDone[2] -> item = 2
       fi }
       do
       :: commit(known, self, knownListed + 1, false, knownWrites + 1, item, outcome);
          atomic {
              if
              :: outcome == WRITTEN -> isDone[item] = true; knownListed++; knownWrites++; known = known + 1; break
              :: outcome == CONFLICT ->
                 if
                 :: owner == self && listed == knownListed + 1 && writes == knownWrites + 1 && !isEnded && version > 0 ->
                    isDone[item] = true; knownListed++; knownWrites++; known = version
                 :: else -> runs = false
                 fi;
                 break
              :: outcome == UNKNOWN ->
#ifdef NEW_WRITE_AFTER_LOST_ANSWER
                 if
                 :: owner == self && listed < ITEMS -> known = version; knownListed = listed; knownWrites = writes
                 :: else -> runs = false; break
                 fi
#else
                 skip
#endif
              :: else
              fi
          }
       od;
       atomic { item = 0; outcome = 0;
          if
          :: !runs -> known = 0; knownListed = 0; knownWrites = 0; isDone[1] = false; isDone[2] = false
          :: else
          fi }
    /* Power loss */
    :: atomic { lossesLeft > 0 && runs -> lossesLeft--;
       runs = false; known = 0; knownListed = 0; knownWrites = 0; isDone[1] = false; isDone[2] = false }
    od
}

/* JobService::end */
active proctype Ending() {
    byte seen; byte seenOwner; byte seenListed; byte seenWrites;
    mtype outcome;
    byte tries = 0;
end:
    isAccepted;
    do
    :: tries == 1 || isEnded -> break
    :: else ->
       atomic { seen = version; seenOwner = owner; seenListed = listed; seenWrites = writes; tries++ }
       commit(seen, seenOwner, seenListed, true, seenWrites + 1, 0, outcome);
       atomic { seen = 0; seenOwner = 0; seenListed = 0; seenWrites = 0; outcome = 0 }
    od
}

init {
    atomic { run Vm(0); run Vm(1) }
}
