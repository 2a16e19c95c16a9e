/*
 * Models orders to load a weight version (core/forward/rollout.go). Each holder reads
 * the endpoint's report and makes its order conditional on the number of orders in the
 * report. Holders are suspended and restart at any point, and an order may arrive at
 * any later time or never. The model doesn't restrict which holder may give orders at
 * which time: the condition alone prevents a late order from undoing a newer one.
 *
 * Safety: the version on an endpoint never decreases; an order that is based on one
 * report is executed at most once.
 *
 * The mutants below must violate an assertion; they are selected with -DMUTANT_name.
 */
// MUTANT no_condition
// MUTANT condition_at_sending
// MUTANT older_target

#define HOLDERS  2
#define VERSIONS 3
#define ONWAY    2  /* maximum number of a holder's orders in transit */

byte named = 1, version = 1, seq;
typedef order { byte version, condition };
typedef orders { order o[ONWAY] };
orders sent[HOLDERS];
byte target[HOLDERS];

active [HOLDERS] proctype holder() {
	byte reportVersion, reportSeq, n;
	bool reported;
	do
	:: atomic { target[_pid] < named -> target[_pid] = named }
	:: atomic { named < VERSIONS -> named++ }
	:: atomic { !reported -> reported = true; reportVersion = version; reportSeq = seq }
#ifdef MUTANT_older_target
	:: atomic { reported && reportVersion != target[_pid] && target[_pid] ->
#else
	:: atomic { reported && reportVersion < target[_pid] ->
#endif
		n = 0;
		do
		:: n < ONWAY && sent[_pid].o[n].version -> n++
		:: else -> break
		od;
		if
		:: n < ONWAY ->
			sent[_pid].o[n].version = target[_pid];
#ifdef MUTANT_condition_at_sending
			sent[_pid].o[n].condition = seq
#else
			sent[_pid].o[n].condition = reportSeq
#endif
		:: else
		fi;
		reported = false; reportVersion = 0; reportSeq = 0; n = 0 }
	/* A restart. */
	:: atomic { reported || target[_pid] -> reported = false; reportVersion = 0; reportSeq = 0; target[_pid] = 0 }
	od
}

active proctype endpoint() {
	byte h, n;
	do
	:: atomic { true ->
		if :: h = 0 :: h = 1 fi;
		if :: n = 0 :: n = 1 fi;
		if
		:: sent[h].o[n].version ->
			if
#ifdef MUTANT_no_condition
			:: true ->
#else
			:: sent[h].o[n].condition == seq ->
#endif
				assert(sent[h].o[n].version > version);
				version = sent[h].o[n].version; seq++
			:: else
			fi;
			sent[h].o[n].version = 0; sent[h].o[n].condition = 0
		:: sent[h].o[n].version -> sent[h].o[n].version = 0; sent[h].o[n].condition = 0  /* lost */
		:: else
		fi;
		h = 0; n = 0 }
	od
}
