/*
 * A configuration in force: versions only rise on every VM, and `in force everywhere` stays true.
 *
 * VERSIONS documents are accepted one after the other. Two VMs in two data centres; a partition
 * cuts VM 1 from VM 0 and from the platform. A VM learns from the table or from a peer that it can reach, and what
 * it heard may be old when it arrives. A VM may be replaced (REPLACEMENTS times): the new process starts with nothing.
 * An operator asks who has the newest version in force.
 */
// compile: -DSAFETY -DCOLLAPSE
// search: -m1000000
// break: TAKE_ANY_VERSION
// break: STATUS_IGNORES_INCARNATION

#define VMS          2
#define REPLACEMENTS 1
#define VERSIONS     2

byte accepted = 0;               /* the table's row: version */
byte inForce[VMS];               /* 0: this process has none yet */
byte incarnation[VMS];
byte replacements = 0;
bool isCut = false;              /* VM 1 from VM 0 and from the platform */
byte everywhere = 0;             /* newest version that the system called in force on every VM */

/* An answer with a version has arrived at the VM; it may be old by then. */
inline take(vm, version) {
#ifdef TAKE_ANY_VERSION
    if
    :: version > 0 ->
       assert(version >= inForce[vm]);
       inForce[vm] = version
    :: else -> skip
    fi
#else
    if
    :: version > inForce[vm] -> inForce[vm] = version
    :: else -> skip
    fi
#endif
    ;
    assert(inForce[vm] >= everywhere || inForce[vm] == 0)
}

proctype Vm(byte me) {
    byte heard = 0;
    byte born = 0;
end:
    do
    :: atomic { incarnation[me] != born -> born = incarnation[me]; heard = 0 }
    :: atomic { me != 1 || !isCut -> heard = accepted }    /* a read of the table, answered late */
    :: atomic { !isCut && inForce[1 - me] > 0 -> heard = inForce[1 - me] }   /* from the peer */
    :: atomic { incarnation[me] == born && heard > 0 -> take(me, heard); heard = 0 }
    od
}

active proctype Platform() {
end:
    do
    :: atomic { accepted < VERSIONS -> accepted++ }
    :: atomic { isCut = !isCut }
    od
}

active proctype Replacement() {
    byte which;
end:
    do
    :: atomic { replacements < REPLACEMENTS ->
           replacements++;
           if
           :: which = 0
           :: which = 1
           fi;
           incarnation[which]++;
           inForce[which] = 0
       }
    od
}

/* Asks each VM in turn, then asks again: `in force everywhere` needs the same processes in both rounds. */
active proctype Status() {
    byte asked;
    byte seen[VMS];
    byte wanted;
    bool isWhole;
    wanted = accepted;
    isWhole = wanted > 0;
    asked = 0;
    do
    :: atomic { asked < VMS -> seen[asked] = incarnation[asked]; isWhole = isWhole && inForce[asked] >= wanted; asked++ }
    :: atomic { asked == VMS -> break }
    od;
    asked = 0;
    do
    :: atomic { asked < VMS ->
#ifndef STATUS_IGNORES_INCARNATION
           isWhole = isWhole && seen[asked] == incarnation[asked];
#endif
           asked++ }
    :: atomic { asked == VMS -> break }
    od;
    atomic {
        if
        :: isWhole -> everywhere = wanted
        :: else -> skip
        fi
    }
}

init {
    atomic {
        run Vm(0);
        run Vm(1)
    }
}
