/*
 * Models ordering and propagation of the configuration stream (docs/design.md,
 * section 8, and core/config/stream.go). Two operators publish concurrently, answers
 * to appends are lost, appends take effect late, the log has outages and trims
 * processed records, snapshots are written late, and processes restart and adopt the
 * state of a peer.
 *
 * Documents are identified by the publication that created them, so that equal names
 * stand for equal hashes. Positions count processed records: thr is the offset of the
 * next record to process. Reading and processing a record are one step.
 *
 * An outage of the log is a period without steps of the log, which the interleaving
 * covers; processes still exchange states during an outage.
 *
 * Not modeled: records that are trimmed before any process has processed them. This
 * is the case in which a stuck process writes a snapshot.
 *
 * Safety: the version of a process never decreases; all processes have the same
 * document for a version; exactly one publication wins a version, and operators read
 * the correct outcome; a process at the end of the log has the last accepted version,
 * so no snapshot hides a version.
 *
 * The mutants below must violate an assertion; they are selected with -DMUTANT_name.
 */
// MUTANT late_snapshot
// MUTANT no_base_check
// MUTANT adopt_lower
// MUTANT gap_ignored
// MUTANT snapshot_as_of_end
// MUTANT last_outcome

#define PROCS   2
#define OPS     2
#define RECORDS 5   /* capacity of the log */
#define TRIES   2   /* append attempts per publication */
#define SNAPS   1   /* maximum number of snapshots */
#define PUBLISH  1
#define SNAPSHOT 2

typedef record {
	byte kind;
	byte ver;   /* base version, or the version of a snapshot */
	byte doc;   /* base document, or the document of a snapshot */
	byte pub;   /* publication */
	byte asof;  /* snapshots: number of records that it covers */
};

record rec[RECORDS];
byte first, tail;          /* the log contains offsets first to tail-1 */
record pending;           /* an append that takes effect late */
record snap;              /* a snapshot that is created but not yet appended */
byte snaps;               /* number of snapshots created */

/* State that results from the order of the log; only used by assertions. */
byte tver, tdoc;
byte winner[OPS * TRIES + 1];

byte ver[PROCS], doc[PROCS], thr[PROCS];

inline append(aKind, aVer, aDoc, aPub, aAsof) {
	rec[tail].kind = aKind; rec[tail].ver = aVer; rec[tail].doc = aDoc; rec[tail].pub = aPub; rec[tail].asof = aAsof;
	tail++;
	if
	:: rec[tail-1].kind == PUBLISH && rec[tail-1].ver == tver && rec[tail-1].doc == tdoc ->
		tver++; tdoc = rec[tail-1].pub;
		assert(winner[tver] == 0);
		winner[tver] = tdoc
	:: else
	fi
}

/* ACCEPTED: record i is a publication accepted by a process with version v and document d. */
#ifdef MUTANT_no_base_check
#define ACCEPTED(i, v, d) (rec[i].kind == PUBLISH && rec[i].ver + 1 >= v)
#else
#define ACCEPTED(i, v, d) (rec[i].kind == PUBLISH && rec[i].ver == v && rec[i].doc == d)
#endif

#ifdef MUTANT_late_snapshot
#define USABLE(i) (rec[i].kind == SNAPSHOT)
#else
#define USABLE(i) (rec[i].kind == SNAPSHOT && rec[i].asof >= first)
#endif

inline force(newVer, newDoc) {
	nv = newVer; nd = newDoc;
	assert(nv >= ver[me]);
	assert(nv == 0 || winner[nv] == nd);
	ver[me] = nv; doc[me] = nd;
	nv = 0; nd = 0
}

inline checkEnd() {
	if
	:: thr[me] == tail -> assert(ver[me] == tver && doc[me] == tdoc)
	:: else
	fi
}

proctype Process(byte me) {
	byte i, nv, nd;
end:	do
	:: atomic { /* read and process the next record */
		thr[me] >= first && thr[me] < tail ->
		i = thr[me];
		if
		:: ACCEPTED(i, ver[me], doc[me]) -> force(rec[i].ver + 1, rec[i].pub)
		:: else
		fi;
		thr[me] = i + 1;
		i = 0;
		checkEnd()
	   }
	:: atomic { /* the next record was trimmed: look for a usable snapshot */
		thr[me] < first && first < tail ->
		i = first;
		do
		:: i < tail - 1 -> i++
		:: break
		od;
		if
		:: USABLE(i) && rec[i].ver >= ver[me] ->
			force(rec[i].ver, rec[i].doc);
			thr[me] = rec[i].asof
#ifdef MUTANT_late_snapshot
			;
			if
			:: thr[me] < first -> thr[me] = first
			:: else
			fi;
			checkEnd()
#endif
		:: else
		fi;
		i = 0
	   }
#ifdef MUTANT_gap_ignored
	:: atomic { thr[me] < first -> thr[me] = first; checkEnd() }
#endif
	:: atomic { /* adopt the state of the other process */
		i = 1 - me;
		if
#ifdef MUTANT_adopt_lower
		:: thr[i] > thr[me] || ver[i] > 0 ->
#else
		:: ver[i] > ver[me] ->
#endif
			force(ver[i], doc[i]);
			thr[me] = thr[i]
		:: ver[i] == ver[me] && ver[me] > 0 && thr[i] > thr[me] -> thr[me] = thr[i]
		:: else
		fi;
		i = 0
	   }
	:: atomic { ver[me] = 0; doc[me] = 0; thr[me] = 0 } /* restart without stored state */
	:: atomic { /* create a snapshot, which is appended later */
		snap.kind == 0 && snaps < SNAPS && ver[me] > 0 && thr[me] >= first ->
		snaps++;
		snap.kind = SNAPSHOT; snap.ver = ver[me]; snap.doc = doc[me];
#ifdef MUTANT_snapshot_as_of_end
		snap.asof = tail
#else
		snap.asof = thr[me]
#endif
	   }
	od
}

/* An operator makes publication o, with up to TRIES appends. */
proctype Operator(byte o) {
	byte base, baseDoc, myVer, myDoc, myThr, tries;
	bool late;
	bool found, won;
	atomic { /* the base is the version in force in any process */
		if
		:: base = ver[0]; baseDoc = doc[0]; myThr = thr[0]
		:: base = ver[1]; baseDoc = doc[1]; myThr = thr[1]
		fi;
		myVer = base; myDoc = baseDoc
	}
end:	do
	:: atomic { /* append; a lost answer makes no difference, since the operator reads the log in any case */
		!found && tries < TRIES && tail < RECORDS && (tries == 0 || myThr == tail) ->
		tries++;
		if
		:: append(PUBLISH, base, baseDoc, o, 0)
		:: pending.kind == 0 -> pending.kind = PUBLISH; pending.ver = base; pending.doc = baseDoc; pending.pub = o
		fi
	   }
	:: atomic { /* read the next record and look for the publication */
		tries > 0 && myThr >= first && myThr < tail ->
		if
		:: ACCEPTED(myThr, myVer, myDoc) ->
			myVer = rec[myThr].ver + 1; myDoc = rec[myThr].pub; late = true
		:: else -> late = false
		fi;
		if
#ifdef MUTANT_last_outcome
		:: rec[myThr].kind == PUBLISH && rec[myThr].pub == o ->
#else
		:: rec[myThr].kind == PUBLISH && rec[myThr].pub == o && !found ->
#endif
			found = true; won = late;
			assert(won == (winner[base + 1] == o))
		:: else
		fi;
		late = false;
		myThr++
	   }
	:: myThr < first && tries > 0 -> break /* the record was trimmed, so the outcome can't be read */
	:: atomic { found && (myThr == tail || tries == TRIES) -> break }
	od;
	atomic { base = 0; baseDoc = 0; myVer = 0; myDoc = 0; myThr = 0; found = false; won = false }
}

/* The log trims processed records and applies late appends. */
proctype Log() {
end:	do
	:: atomic { first < tail && ((thr[0] >= first && thr[0] > first) || (thr[1] >= first && thr[1] > first)) -> first++ }
	:: atomic { pending.kind != 0 && tail < RECORDS -> append(PUBLISH, pending.ver, pending.doc, pending.pub, 0);
		pending.kind = 0; pending.ver = 0; pending.doc = 0; pending.pub = 0
	   }
	:: atomic { snap.kind != 0 && tail < RECORDS -> append(SNAPSHOT, snap.ver, snap.doc, 0, snap.asof);
		snap.kind = 0; snap.ver = 0; snap.doc = 0; snap.asof = 0
	   }
	od
}

init {
	atomic {
		run Process(0); run Process(1);
		run Operator(1); run Operator(2);
		run Log()
	}
}
