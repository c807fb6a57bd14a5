/*
 * Slots and the delivery cursor: each slot of a step reaches its trainer exactly once.
 *
 * SLOTS slots, two collectors (the lease that should leave one of them is only thrift, so the model gives both the right
 * at any time). A commit fills one slot on the conditions that the slot's row is absent and that the cursor's row has
 * the version that was read; it may be refused, conflict, or be ambiguous: took effect, takes effect later, or never.
 * A collector may die at any point (DEATHS times in all) and lose what it holds; what is not committed is generated
 * again. The trainer fetches by sequence number; an answer may be lost and is asked for again.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m2000000
// break: SLOT_WITHOUT_CONDITION
// break: CURSOR_WITHOUT_CONDITION
// break: DELIVER_BEFORE_COMMIT
// break: NEVER_GENERATED_AGAIN
// break: FETCH_MOVES_CURSOR

#define SLOTS      2
#define COLLECTORS 2
#define DEATHS     2
#define LATE       2
#define NONE       9

bool isFilled[SLOTS];          /* the slot's row */
byte cursor = 0;               /* the cursor's row: sequence numbers given out */
byte slotAt[SLOTS + 4];        /* the slot that a sequence number names */
byte deaths = 0;
byte received[SLOTS];          /* by the trainer */
byte receivedAll = 0;

/* Commits under way that may take effect later: slot and the cursor that their condition names. */
byte lateSlot[LATE];
byte lateCursor[LATE];

#ifdef SLOT_WITHOUT_CONDITION
#define isSlotFree(slot) true
#else
#define isSlotFree(slot) (!isFilled[slot])
#endif
#ifdef CURSOR_WITHOUT_CONDITION
#define isCursorAt(seen) true
#else
#define isCursorAt(seen) (cursor == seen)
#endif

inline takeEffect(slot, seen) {
    if
    :: isSlotFree(slot) && isCursorAt(seen) ->
       isFilled[slot] = true;
       slotAt[seen] = slot;
       cursor = seen + 1
    :: else -> skip
    fi
}

active proctype Network() {
    byte which;
    byte seen;
end:
    do
    :: atomic { lateSlot[0] != NONE -> which = lateSlot[0]; seen = lateCursor[0]; lateSlot[0] = NONE;
                takeEffect(which, seen) }
    :: atomic { lateSlot[1] != NONE -> which = lateSlot[1]; seen = lateCursor[1]; lateSlot[1] = NONE;
                takeEffect(which, seen) }
    :: atomic { lateSlot[0] != NONE -> lateSlot[0] = NONE }
    :: atomic { lateSlot[1] != NONE -> lateSlot[1] = NONE }
    od
}

/* Generates a sample for a slot that it read as empty, then commits it. `mine` numbers its one late commit. */
proctype Collector(byte mine) {
    byte slot;
    byte seen;
    do
    :: atomic { receivedAll == SLOTS -> break }
    :: atomic {                                  /* generates for a slot that is empty now */
           receivedAll < SLOTS ->
           if
           :: !isFilled[0] -> slot = 0
           :: !isFilled[1] -> slot = 1
           :: else -> slot = NONE
           fi
       };
       if
       :: slot == NONE -> (receivedAll == SLOTS)
       :: slot != NONE ->
          seen = cursor;                         /* read when the sample is ready: the slot may be filled by now */
#ifdef DELIVER_BEFORE_COMMIT
          atomic { received[slot]++; receivedAll++; assert(received[slot] <= 1) };
#endif
          if
          :: atomic { takeEffect(slot, seen) }   /* answered, or the answer is lost: read back in the next round */
          :: atomic { lateSlot[mine] == NONE -> lateSlot[mine] = slot; lateCursor[mine] = seen }
          :: skip                                /* refused, or lost before it arrived */
          :: atomic { deaths < DEATHS -> deaths++ };
#ifdef NEVER_GENERATED_AGAIN
             break
#else
             skip                                /* another process, which knows nothing but the rows */
#endif
          fi
       fi
    od
}

/* Delivery by sequence number; the trainer keeps its own place. */
active proctype Trainer() {
    byte after = 0;
    byte slot;
    do
    :: atomic { after == SLOTS -> break }
    :: atomic { after < cursor ->                /* the answer arrives */
           slot = slotAt[after];
           after++;
           received[slot]++;
           assert(received[slot] <= 1);
           receivedAll++
       }
    :: atomic { after < cursor ->                /* the answer is lost; the same `after` is asked again */
#ifdef FETCH_MOVES_CURSOR
           after++
#else
           skip
#endif
       }
    od;
    assert(received[0] == 1 && received[1] == 1)
}

init {
    atomic {
        lateSlot[0] = NONE;
        lateSlot[1] = NONE;
        run Collector(0);
        run Collector(1)
    }
}
