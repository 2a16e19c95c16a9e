/*
 * Models which member may order an endpoint's weight changes
 * (core/forward/ownership.go). The members of a group join through the log, read the
 * member list, confirm it with another join, and may then give orders for the duration
 * of a lease. Joins and reads take time and may be lost, and a member may be suspended
 * or restart at any point. spec/orders.pml models orders that arrive late.
 *
 * Time passes in ticks between any two steps: a member that takes no steps is
 * suspended or partitioned. Ages are counted up to the largest bound that they are
 * compared with. The member with the lowest number in a list owns the endpoint, in
 * place of rendezvous hashing, which also assigns one owner per list.
 *
 * Not modeled: orders within the pause to an endpoint whose last order is known
 * (Ownership.IsSoleOwner with ManagedEndpoint.OrderSeq) and members that join as standbys, both
 * of which TestOwnersUnderFaults runs, and histories of more than EPOCHS lists
 * within the wait or of more than CHANGES generations.
 *
 * Safety: orders of two different holders are at least a pause apart and have
 * increasing fencing tokens.
 *
 * The mutants below must violate an assertion; they are selected with -DMUTANT_name.
 */
// MUTANT no_lease
// MUTANT no_handover
// MUTANT unconfirmed_list
// MUTANT newest_list_only
// MUTANT restart_owns
// MUTANT removed_at_once
// MUTANT lapse_ignored
// MUTANT clock_stops

#define MEMBERS  2
#define EPOCHS   3
#define CHANGES  4
#define LEASE    2  /* ticks after a join during which a member may give orders */
#define TTL      3  /* ticks without a join until the log removes a member */
#define PAUSE    3  /* minimum ticks between the orders of two holders; the log removes a silent member by then */
#define WAIT     (LEASE + PAUSE)

#define NOBODY 255

/* The log. */
byte generation = 1, set;      /* set: bit mask of the members */
byte idle[MEMBERS];            /* ticks since a member's last join */

/* A member's outstanding call. */
#define JOIN   1
#define JOINED 2
#define READ   3
#define LISTED 4
byte call[MEMBERS], age[MEMBERS];
bool lapsed[MEMBERS];          /* the lease had expired when the join was sent */
byte answer[MEMBERS];          /* generation in the answer to the join; kept during the read that follows */
byte list[MEMBERS];

/* Local state of a member. */
byte renewed[MEMBERS];         /* ticks since the last join that confirmed its newest list */
byte readGeneration[MEMBERS], readSet[MEMBERS];  /* list that is not yet confirmed; generation 0 if there is none */
byte known[MEMBERS];           /* number of confirmed lists */
typedef lists { byte generation[EPOCHS]; byte set[EPOCHS]; byte confirmed[EPOCHS] };
lists epoch[MEMBERS];

/* State derived from the orders; only used by assertions. */
byte holder = NOBODY, fence, since = PAUSE;

#define OWNER(s)      ((s & 1) -> 0 : 1)
#define LAST(m)       (known[m] - 1)
#define SETTLED(m, n) (epoch[m].confirmed[n] >= WAIT)
#define CURRENT(m)    (readGeneration[m] == answer[m] || (known[m] > 0 && epoch[m].generation[LAST(m)] == answer[m]))

inline renew(m) { if :: age[m] < LEASE -> renewed[m] = age[m] :: else -> renewed[m] = LEASE fi }

inline older(x, bound) { if :: x < bound -> x++ :: else fi }

/* shift drops the oldest list. */
inline shift(m) {
	k = 1;
	do
	:: k < known[m] ->
		epoch[m].generation[k-1] = epoch[m].generation[k];
		epoch[m].set[k-1] = epoch[m].set[k];
		epoch[m].confirmed[k-1] = epoch[m].confirmed[k]; k++
	:: else -> break
	od;
	known[m]--;
	epoch[m].generation[known[m]] = 0; epoch[m].set[known[m]] = 0; epoch[m].confirmed[known[m]] = 0;
	k = 0
}

inline forget(m) { do :: known[m] > 0 -> shift(m) :: else -> break od }

/* prune drops the lists that no decision depends on any more. */
inline prune(m) { do :: known[m] > 1 && SETTLED(m, 1) -> shift(m) :: else -> break od }

inline confirm(m) {
	epoch[m].generation[known[m]] = readGeneration[m];
	epoch[m].set[known[m]] = readSet[m];
	epoch[m].confirmed[known[m]] = age[m];
	known[m]++; renew(m); readGeneration[m] = 0; readSet[m] = 0;
	prune(m)
}

/* joined processes the answer to a join. */
inline joined(m) {
#ifndef MUTANT_lapse_ignored
	if
	:: known[m] > 0 && answer[m] != epoch[m].generation[LAST(m)] && lapsed[m] -> forget(m)
	:: else
	fi;
#endif
	if
	:: readGeneration[m] == answer[m] -> confirm(m)
	:: readGeneration[m] != answer[m] && known[m] > 0 && epoch[m].generation[LAST(m)] == answer[m] -> renew(m)
	:: else
	fi
}

/* owns sets may to whether the member may give an order now: it owns the newest list, and a pause
 * has passed since the first of its lists in a row. If the owner before is in that list, it may
 * not know it yet, so its lease must have expired too; a member that the list lacks was removed
 * after its lease had expired. */
inline owns(m) {
	may = (known[m] > 0);
#ifndef MUTANT_no_lease
	may = (may && renewed[m] < LEASE);
#endif
	if
	:: may -> i = LAST(m); may = (OWNER(epoch[m].set[i]) == m)
	:: else
	fi;
#if defined(MUTANT_newest_list_only)
	may = (may && SETTLED(m, 0));
#elif !defined(MUTANT_no_handover)
	do
	:: may && i > 0 && !SETTLED(m, i) && OWNER(epoch[m].set[i-1]) == m -> i--
	:: else -> break
	od;
	if
	:: may && i > 0 && !SETTLED(m, i) ->
#ifdef MUTANT_removed_at_once
		skip
#else
		may = (epoch[m].confirmed[i] >= (((epoch[m].set[i] >> OWNER(epoch[m].set[i-1])) & 1) -> WAIT : PAUSE))
#endif
#ifndef MUTANT_restart_owns
	:: may && i == 0 -> may = SETTLED(m, 0)
#endif
	:: else
	fi;
#endif
	i = 0
}

inline tick() {
	older(since, PAUSE);
	m = 0;
	do
	:: m < MEMBERS ->
		older(idle[m], TTL);
		if
		:: idle[m] == TTL && ((set >> m) & 1) -> set = set & ~(1 << m); if :: generation < CHANGES -> generation++ :: else -> done = true fi
		:: else
		fi;
#ifdef MUTANT_clock_stops
		if
		:: true
		:: true ->
#endif
		older(renewed[m], LEASE);
		if :: call[m] -> older(age[m], WAIT) :: else fi;
		i = 0;
		do
		:: i < known[m] -> older(epoch[m].confirmed[i], WAIT); i++
		:: else -> break
		od;
		prune(m);
#ifdef MUTANT_clock_stops
		fi;
#endif
		m++
	:: else -> break
	od;
	i = 0
}

active proctype system() {
	byte m, i, k;
	bool may, done;
	do
	:: atomic { !done -> tick(); m = 0 }
	:: atomic { !done ->
	if :: m = 0 :: m = 1 fi;
	if
	/* The member's calls and the log's answers. */
	:: call[m] == 0 -> call[m] = JOIN; lapsed[m] = (renewed[m] >= LEASE)
	:: call[m] == JOIN && (((set >> m) & 1) || generation < CHANGES) ->
		if
		:: (set >> m) & 1
		:: else -> set = set | (1 << m); generation++
		fi;
		idle[m] = 0; answer[m] = generation; call[m] = JOINED
	:: call[m] == JOINED && known[m] < EPOCHS ->
		joined(m); age[m] = 0; lapsed[m] = false;
		if
		:: CURRENT(m) -> call[m] = 0; answer[m] = 0
		:: else -> call[m] = READ
		fi
	:: call[m] == READ -> list[m] = set; call[m] = LISTED
	:: call[m] == LISTED ->
		readGeneration[m] = answer[m]; readSet[m] = list[m];
		call[m] = 0; age[m] = 0; answer[m] = 0; list[m] = 0;
#ifdef MUTANT_unconfirmed_list
		if :: known[m] < EPOCHS -> confirm(m) :: else fi
#endif
	:: call[m] -> call[m] = 0; age[m] = 0; answer[m] = 0; list[m] = 0; lapsed[m] = false  /* lost */
	/* An order. */
	:: known[m] > 0 ->
		owns(m);
		if
		:: may ->
			assert(holder == NOBODY || holder == m || since >= PAUSE);
			assert(holder == NOBODY || holder == m || epoch[m].generation[LAST(m)] > fence);
			holder = m; fence = epoch[m].generation[LAST(m)]; since = 0
		:: else
		fi;
		may = false
	/* A restart. */
	:: known[m] > 0 || readGeneration[m] ->
		forget(m); readGeneration[m] = 0; readSet[m] = 0; renewed[m] = LEASE; lapsed[m] = false;
		call[m] = 0; age[m] = 0; answer[m] = 0; list[m] = 0
	:: else
	fi;
	m = 0 }
	od
}
