/*
 * Models the freshness of keys (core/forward/freshness.go). An operator removes a
 * key; processes read the log and refuse all keys when their newest read is too old.
 * Reads and their answers are late or lost, the log is unreachable, and processes are
 * suspended or restart at any point, also between two steps of a request.
 *
 * Time passes in ticks between any two steps: a process that takes no steps is
 * suspended or partitioned. Ages are counted up to LIMIT.
 *
 * A read may wait at the log for a record. The log begins the wait after the request was
 * sent, counts it by its own ticks, and answers when it ends or when there is a record. An
 * answer without a record proves the start of the read plus the wait (LongPoll.Proof in
 * core/forward/longpoll.go), however late it arrives.
 *
 * Processes may also adopt the age of a peer: a process sends a time stamp of its own
 * clock, the peer answers with the version and the age of its configuration, and the
 * time since the stamp is added to that age. The product doesn't do this; the model
 * shows under which conditions it is safe (docs/decisions/0009-users-machines.md).
 *
 * Safety: no key is accepted BOUND ticks after its removal was confirmed; a
 * process never reverts to an older configuration.
 *
 * The mutants below must violate an assertion; they are selected with -DMUTANT_name.
 */
// MUTANT no_limit
// MUTANT age_from_answer
// MUTANT clock_stops
// MUTANT judged_once
// MUTANT peer_age_from_answer
// MUTANT peer_of_another_version
// MUTANT failed_read_confirms
// MUTANT proof_at_answer
// MUTANT proof_beyond_wait

#define PROCS 2
#define BOUND 4            /* maximum ticks from the removal until the key is refused */
#define LIMIT (BOUND - 1)  /* age from which keys are refused; one tick is left for requests in progress */

#define WAIT 1             /* ticks for which the log waits for a record */

#define READING 1
#define ANSWERED 2
#define ASKED 3
#define TOLD 4
#define WAITING 5
#define WAITED 6

byte newest = 1;           /* version 1 has the key, version 2 doesn't */
byte since;                /* ticks since version 2 was confirmed */

byte version[PROCS];       /* 0: none */
byte age[PROCS];
byte call[PROCS], sent[PROCS];           /* outstanding read or query, and ticks since it was sent */
byte answer[PROCS], answerAge[PROCS];
byte waited[PROCS];        /* ticks for which the log has waited for the read */
byte request[PROCS];       /* 1: the key was found valid, but the request is not sent yet */

inline older(x, bound) { if :: x < bound -> x++ :: else fi }

inline done(p) { call[p] = 0; sent[p] = 0; answer[p] = 0; answerAge[p] = 0; waited[p] = 0 }

#ifdef MUTANT_no_limit
#define VALID(p) (version[p] == 1)
#else
#define VALID(p) (version[p] == 1 && age[p] < LIMIT)
#endif

active proctype system() {
	byte p, q, a;
	do
	:: atomic { newest == 1 -> newest = 2; since = 0 }
	/* A tick. */
	:: atomic { true ->
		if :: newest == 2 -> older(since, BOUND) :: else fi;
		p = 0;
		do
		:: p < PROCS ->
#ifdef MUTANT_clock_stops
			if
			:: true
			:: true ->
#endif
			older(age[p], LIMIT);
			if :: call[p] -> older(sent[p], LIMIT + WAIT) :: else fi;
#ifdef MUTANT_clock_stops
			fi;
#endif
			if :: call[p] == WAITING -> older(waited[p], WAIT) :: else fi;
			p++
		:: else -> break
		od;
		p = 0 }
	:: atomic { true ->
	if :: p = 0; q = 1 :: p = 1; q = 0 fi;
	if
	/* Reads of the log. */
	:: call[p] == 0 -> call[p] = READING
	:: call[p] == READING -> answer[p] = newest; call[p] = ANSWERED
	:: call[p] == ANSWERED ->
		assert(answer[p] >= version[p]);
#ifdef MUTANT_age_from_answer
		age[p] = 0;
#else
		if :: version[p] == 0 || sent[p] < age[p] -> age[p] = sent[p] :: else fi;
#endif
		version[p] = answer[p]; done(p)
	/* Reads that wait at the log, which answers with a record at once. */
	:: call[p] == READING && version[p] == newest -> call[p] = WAITING
	:: call[p] == WAITING && version[p] != newest -> answer[p] = newest; call[p] = ANSWERED
	:: call[p] == WAITING && version[p] == newest && waited[p] == WAIT -> call[p] = WAITED
	:: call[p] == WAITED ->
#ifdef MUTANT_proof_at_answer
		a = 0;
#else
#ifdef MUTANT_proof_beyond_wait
		a = (sent[p] > WAIT + 1 -> sent[p] - WAIT - 1 : 0);
#else
		a = (sent[p] >= WAIT -> sent[p] - WAIT : sent[p]);
#endif
#endif
		if :: a < age[p] -> age[p] = a :: else fi;
		a = 0; done(p)
	:: call[p] ->
#ifdef MUTANT_failed_read_confirms
		if :: call[p] == READING -> age[p] = sent[p] :: else fi;
#endif
		done(p)  /* lost */
	/* Queries to the peer. */
	:: call[p] == 0 && version[p] -> call[p] = ASKED
	:: call[p] == ASKED && version[q] -> answer[p] = version[q]; answerAge[p] = age[q]; call[p] = TOLD
	:: call[p] == TOLD ->
#ifdef MUTANT_peer_age_from_answer
		a = answerAge[p];
#else
		a = answerAge[p] + sent[p];
#endif
		if
#ifdef MUTANT_peer_of_another_version
		:: a < age[p] -> age[p] = a
#else
		:: answer[p] == version[p] && a < age[p] -> age[p] = a
#endif
		:: else
		fi;
		a = 0; done(p)
	/* A request with the key, which is checked on arrival and again before it is sent. */
	:: request[p] == 0 && VALID(p) -> request[p] = 1
	:: request[p] == 1 ->
#ifdef MUTANT_judged_once
		assert(newest == 1 || since < BOUND);
#else
		if
		:: VALID(p) -> assert(newest == 1 || since < BOUND)
		:: else
		fi;
#endif
		request[p] = 0
	/* A restart. */
	:: version[p] -> version[p] = 0; age[p] = 0; request[p] = 0; done(p)
	:: else
	fi;
	p = 0; q = 0 }
	od
}
