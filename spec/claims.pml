/*
 * Models the claim protocol (docs/design.md, section 7) for one key: two keepers, two
 * executors with one attempt each, and a log that may lose the answer to an append,
 * apply the append late, or apply it twice. Any process may stop between any two
 * steps, which models a pause. Keeper 1 is the successor of keeper 0, which may
 * continue to run after the handover.
 *
 * Safety: there is at most one effect; an attempt whose caller was told not_run has
 * no effect; a granted claim is the first valid one; an attempt whose claim was
 * declared void, or that was released, does not hold the key at the end.
 *
 * Each mutant lacks one guard; spec/run.sh expects each of them to violate an assertion.
 */

// MUTANT grant_unread
// MUTANT ignore_earlier_claim
// MUTANT ignore_void
// MUTANT void_unread
// MUTANT judge_twice
// MUTANT not_run_unclosed
// MUTANT dispatch_after_close
// MUTANT dispatch_twice
// MUTANT release_after_dispatch

#define LOG 10       /* capacity of the log; an assertion fails if it is exceeded */
#define NONE 255

#define CLAIM 1
#define VOID 2
#define RELEASE 3

#define OPEN 0
#define DISPATCHED 1
#define CLOSED 2

byte kind[LOG];
byte who[LOG];
byte size = 0;
bool late[2];            /* an append of the attempt's claim may still arrive */
bool copied = false;     /* one append was applied twice */
bool lostVoid = false;   /* one append of a void record was lost */

byte phase[2];           /* phase of each executor's attempt */
bool notRun[2];          /* the caller was told not_run */
bool toldVoid[2];        /* the keeper answered that the claim is not valid */
bool released[2];        /* the release is in the log */
byte effects = 0;

chan ask[2] = [1] of { byte };    /* executor to keeper: attempt */
chan grants[2] = [2] of { bool }; /* keeper to executor: granted or not */

/* Temporary variables and results of judge, reset after each step that uses them. */
byte i; byte holder; bool done0; bool done1; bool seen;
bool valid; bool judged; bool holds;

inline clear() { valid = false; judged = false; holds = false }

inline take(k, a) {
    d_step { assert(size < LOG); kind[size] = k; who[size] = a; size++ }
}

inline mark(a) { if :: a == 0 -> done0 = true :: else -> done1 = true fi }

/*
 * judge evaluates the first n entries for attempt a. valid: the claim of a was valid
 * and is not released; judged: the log contains a decision on a; holds: a holds the key.
 */
inline judge(a, n) {
    d_step {
        holder = NONE; valid = false; i = 0;
        do
        :: i < n ->
            seen = (who[i] == 0 && done0) || (who[i] == 1 && done1);
#ifdef MUTANT_judge_twice
            seen = false;
#endif
            if
            :: kind[i] == CLAIM && !seen ->
                if
#ifdef MUTANT_ignore_earlier_claim
                :: true ->
#else
                :: holder == NONE ->
#endif
                    holder = who[i];
                    if :: who[i] == a -> valid = true :: else fi
                :: else
                fi;
                mark(who[i])
            :: kind[i] == VOID ->
#ifdef MUTANT_ignore_void
                skip
#else
                mark(who[i])
#endif
            :: kind[i] == RELEASE ->
                if
                :: holder == who[i] -> holder = NONE; if :: who[i] == a -> valid = false :: else fi
                :: else
                fi;
                mark(who[i])
            :: else
            fi;
            i++
        :: else -> break
        od;
        judged = (a == 0 && done0) || (a == 1 && done1);
        holds = (holder == a);
        i = 0; holder = 0; done0 = false; done1 = false; seen = false
    }
}

/* Keeper serves one claim: it appends and reads it back, voids it if it is missing, and answers. */
proctype Keeper(byte id) {
    byte a;
    bool granted = false; bool decided = false;

    ask[id] ? a;
    if
    :: take(CLAIM, a);
#ifdef MUTANT_grant_unread
       granted = true; goto answer
#endif
    :: atomic { !copied -> take(CLAIM, a); late[a] = true; copied = true }
    :: take(CLAIM, a)                  /* the answer is lost */
    :: a == 0 -> late[a] = true        /* the answer is lost; the append is applied late or never */
    :: goto end                        /* the log refuses the append; the claim is not granted */
    fi;
    /* Read until the record of this claim, or look for an append whose answer was lost. */
    do
    :: atomic { !decided -> judge(a, size); granted = valid; decided = judged; clear() };
        if
        :: decided -> break
        :: !decided && !lostVoid -> lostVoid = true
        :: !decided -> take(VOID, a);
#if defined(MUTANT_void_unread) || defined(MUTANT_ignore_void)
            decided = true; break
#endif
        fi
    od;
answer:
    if
    :: granted -> grants[a] ! true;
        if :: grants[a] ! true :: true fi /* the grant is sent twice */
    :: !granted -> atomic { toldVoid[a] = true; grants[a] ! false }
    fi;
end: skip
}

/* Network delivers a delayed append at any time or never. */
proctype Network() {
endWait:
    do
    :: atomic { late[0] -> late[0] = false; take(CLAIM, 0) }
    :: atomic { late[1] -> late[1] = false; take(CLAIM, 1) }
    od
}

/* Executor requests its claim, then dispatches its attempt once or closes it. */
proctype Executor(byte id) {
    bool ok;
    ask[id] ! id;
endServe:
    do
    :: atomic {
        grants[id] ? ok ->
        if
#ifdef MUTANT_dispatch_after_close
        :: ok && phase[id] != DISPATCHED ->
#else
#ifdef MUTANT_dispatch_twice
        :: ok && phase[id] != CLOSED ->
#else
        :: ok && phase[id] == OPEN ->
#endif
#endif
            judge(id, size);
            assert(valid && holds);
            clear();
            phase[id] = DISPATCHED;
            effects++;
            assert(effects <= 1);
            assert(!notRun[id])
        :: else
        fi }
    :: atomic { phase[id] == OPEN && !notRun[id] -> notRun[id] = true;
#ifndef MUTANT_not_run_unclosed
        phase[id] = CLOSED
#endif
        }
    :: atomic { phase[id] == CLOSED && !released[id] -> take(RELEASE, id); released[id] = true }
#ifdef MUTANT_release_after_dispatch
    :: atomic { phase[id] == DISPATCHED && !released[id] -> take(RELEASE, id); released[id] = true }
#endif
    :: break                           /* crashed */
    od
}

init {
    atomic { run Keeper(0); run Keeper(1); run Network(); run Executor(0); run Executor(1) }
    timeout;
    judge(0, size);
    assert(!(holds && (toldVoid[0] || released[0])));
    judge(1, size);
    assert(!(holds && (toldVoid[1] || released[1])))
}
