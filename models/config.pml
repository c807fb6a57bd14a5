/*
 * Accepting a configuration document: one winner for each version, and no answer that confirms wrongly.
 *
 * OPERATORS operators race, each to accept a document on the version that it has seen. A commit may be refused, conflict,
 * or be ambiguous (took effect, takes effect later, or never) and is then read back by its operation id; the table may
 * be out for the read back.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m1000000
// break: ACCEPT_WITHOUT_CONDITION
// break: CONFIRM_AMBIGUOUS
// break: CONFIRM_BY_VERSION

#define OPERATORS 3
#define VERSIONS  3
#define NOBODY    9

byte accepted = 0;               /* the table's row: version */
byte writer[VERSIONS + 1];       /* the operation id that stood in the row, by version */
byte confirmed[VERSIONS + 1];    /* operators who were told `accepted as version v` */

/* Commits that may take effect later. */
byte lateBase[OPERATORS];
bool isLate[OPERATORS];

#ifdef ACCEPT_WITHOUT_CONDITION
#define isCurrent(base) (base < VERSIONS)
#else
#define isCurrent(base) (accepted == base && accepted < VERSIONS)
#endif

inline takeEffect(operation, base) {
    if
    :: isCurrent(base) ->
       assert(writer[base + 1] == NOBODY);    /* never two documents under one version */
       accepted = base + 1;
       writer[accepted] = operation
    :: else -> skip
    fi
}

/* `accepted as version v`: only one operator may hear it, and the row must have carried its operation id. */
inline confirm(operation, version) {
    assert(writer[version] == operation);
    assert(confirmed[version] == 0);
    confirmed[version]++
}

proctype Operator(byte me) {
    byte base = accepted;             /* the version on which the document was written */
    if
    :: atomic { isCurrent(base) -> takeEffect(me, base); confirm(me, base + 1) }
    :: atomic { !isCurrent(base) -> skip }                 /* 409: told what changed under it */
    :: atomic { takeEffect(me, base) }; goto readBack      /* the answer is lost */
    :: atomic { isLate[me] = true; lateBase[me] = base }; goto readBack
    :: goto readBack                                       /* the commit is lost */
    fi;
    goto finished;
readBack:
#ifdef CONFIRM_AMBIGUOUS
    atomic { confirm(me, base + 1) };
#else
    if
#ifdef CONFIRM_BY_VERSION
    :: atomic { accepted == base + 1 -> confirm(me, base + 1) }
#endif
    :: atomic { writer[base + 1] == me -> confirm(me, base + 1) }
    :: writer[base + 1] != me -> skip                      /* another's, or not there yet: `unknown` or conflict */
    :: skip                                                /* the table can't be read: `unknown` */
    fi;
#endif
finished:
    skip
}

active proctype Network() {
end:
    do
    :: atomic { isLate[0] -> isLate[0] = false; takeEffect(0, lateBase[0]) }
    :: atomic { isLate[1] -> isLate[1] = false; takeEffect(1, lateBase[1]) }
    :: atomic { isLate[2] -> isLate[2] = false; takeEffect(2, lateBase[2]) }
    od
}

init {
    atomic {
        writer[1] = NOBODY;
        writer[2] = NOBODY;
        writer[3] = NOBODY
    };
    run Operator(0);
    run Operator(1);
    run Operator(2)
}
