/*
 * Models who may use the share of a warming endpoint (core/forward/warmup.go). The share has one
 * holder, the first of the members in a fixed order. Two entries are enough: whether two of them hold
 * it at once depends only on what the later one in that order knows of the other. Entries join the
 * group in the log, freeze, are cut off from the log, are removed when their membership expires, and
 * return. Joins and their answers are late or lost.
 *
 * Time passes in ticks between any two steps: an entry that takes no steps is frozen or cut off.
 * Ages are counted up to LEASE.
 *
 * Safety: no two entries hold the share at the same time.
 *
 * The mutants below must violate the assertion; they are selected with -DMUTANT_name.
 */
// MUTANT no_wait_of_a_new_member
// MUTANT missing_member_dropped
// MUTANT list_never_expires
// MUTANT proved_at_the_answer
// MUTANT removal_unnoticed

#define N 2
#define TTL 2              /* ticks without a join after which the log removes a member */
#define LEASE 3            /* WarmUpLease */

#define IDLE 0
#define SENT 1
#define ANSWERED 2

byte ttl[N];               /* of the membership at the log, 0 if not listed */
bit changed[N];            /* the generation has changed since the entry's last answered join */
byte list[N];              /* members as the entry knows them, a bit each */
byte proved[N];            /* ticks since the list was proved to be current */
byte since[N];             /* ticks since the uninterrupted membership began */
byte call[N], sent[N], answer[N];
bit answerChanged[N];
byte missing[N * N];       /* for how long a member that left the list counts */

inline older(x) { if :: x < LEASE -> x++ :: else fi }

#define BIT(p) (1 << (p))
#define KNOWS(p, q) ((list[p] & BIT(q)) || missing[(p) * N + (q)] > 0)

#ifdef MUTANT_no_wait_of_a_new_member
#define WAITED(p) 1
#else
#define WAITED(p) (since[p] >= LEASE)
#endif
#ifdef MUTANT_list_never_expires
#define CURRENT(p) 1
#else
#define CURRENT(p) (proved[p] < LEASE)
#endif
#ifdef MUTANT_removal_unnoticed
#define REMOVED(p) 0
#else
#define REMOVED(p) (answerChanged[p] && proved[p] >= TTL)
#endif
#define ENTITLED(p) ((list[p] & BIT(p)) && CURRENT(p) && WAITED(p))
#define HOLDS0 ENTITLED(0)
#define HOLDS1 (ENTITLED(1) && !KNOWS(1, 0))

inline check() { assert(!(HOLDS0 && HOLDS1)) }

inline generationChanges() { changed[0] = 1; changed[1] = 1 }

init {
	byte p, q;
	d_step { proved[0] = LEASE; proved[1] = LEASE }
	do
	/* A tick. The log removes members whose time has passed. */
	:: d_step {
		p = 0;
		do
		:: p < N ->
			older(proved[p]); older(since[p]);
			if :: ttl[p] == 1 -> generationChanges() :: else fi;
			if :: ttl[p] > 0 -> ttl[p]-- :: else fi;
			if :: call[p] != IDLE -> older(sent[p]) :: else fi;
			q = 0;
			do
			:: q < N -> if :: missing[p * N + q] > 0 -> missing[p * N + q]-- :: else fi; q++
			:: else -> break
			od;
			p++
		:: else -> break
		od;
		p = 0; q = 0; check()
	}
	/* An entry sends a join, or gives up the last one. */
	:: atomic {
		select(p : 0 .. 1);
		if
		:: call[p] == IDLE -> call[p] = SENT; sent[p] = 0
		:: call[p] != IDLE ->
			call[p] = IDLE; sent[p] = 0; answer[p] = 0;
			changed[p] = changed[p] | answerChanged[p]; answerChanged[p] = 0
		fi; p = 0
	}
	/* The log carries it out. */
	:: atomic {
		select(p : 0 .. 1);
		if
		:: call[p] == SENT ->
			if :: ttl[p] == 0 -> generationChanges() :: else fi;
			ttl[p] = TTL; call[p] = ANSWERED; answer[p] = 0;
			answerChanged[p] = changed[p]; changed[p] = 0;
			if :: ttl[0] > 0 -> answer[p] = answer[p] | BIT(0) :: else fi;
			if :: ttl[1] > 0 -> answer[p] = answer[p] | BIT(1) :: else fi
		:: else
		fi; p = 0
	}
	/* The entry gets the answer. */
	:: atomic {
		select(p : 0 .. 1);
		if
		:: call[p] == ANSWERED ->
			if
			:: !(list[p] & BIT(p)) || REMOVED(p) -> since[p] = 0
			:: else
			fi;
			q = 1 - p;
			if
			:: (list[p] & BIT(q)) && !(answer[p] & BIT(q)) ->
#ifndef MUTANT_missing_member_dropped
				missing[p * N + q] = LEASE
#else
				skip
#endif
			:: (answer[p] & BIT(q)) -> missing[p * N + q] = 0
			:: else
			fi;
			list[p] = answer[p];
#ifdef MUTANT_proved_at_the_answer
			proved[p] = 0;
#else
			proved[p] = sent[p];
#endif
			call[p] = IDLE; sent[p] = 0; answer[p] = 0; answerChanged[p] = 0; q = 0; p = 0;
			check()
		:: else -> p = 0
		fi
	}
	od
}
