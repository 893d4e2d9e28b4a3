/*
 * At-most-once execution: claim, send, crash, resend. docs/MODEL.md maps each
 * step to the function that implements it.
 *
 * There is one key. A caller sends the operation to ATTEMPTS entry hosts at any
 * time, possibly concurrently. Each attempt claims the key through the owner of
 * the shard, directly in the store, or both; both ways write the same claim id. The
 * store may be unavailable, drop a write, lose its reply, or apply it late. Any
 * process may pause anywhere for any time, and an attempt may crash at any step.
 *
 * A fault is seeded by one of -DNO_FENCE, -DRETRY_PAST_COMMIT, -DOWNER_RELEASES,
 * -DLOST_REPLY_IS_GRANT, -DANY_ID_SETTLES, -DNOT_RUN_AFTER_SEND; the checker
 * must find each.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef FORWARDS
#define FORWARDS ATTEMPTS
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* states of the claim record; FREE is an absent record */
#define FREE 0
#define CLAIMED 1
#define DONE 2

/* acts, the requests on a claim */
#define CLAIM 0
#define FINISH 1
#define RELEASE 2

/* results of a compare-and-swap */
#define OK 0
#define CONFLICT 1
#define UNKNOWN 2
#define UNAVAILABLE 3

/* verdicts; FAILED means no verdict */
#define FAILED 0
#define GRANTED 1
#define UNRESOLVED 2
#define RECORDED 3
#define NOTED 4

/* the store */
byte version = 1;
byte state = FREE;
byte holder = 0;

/* faults that may still occur */
byte outages = OUTAGES;
byte losses = LOSSES;
byte crashes = CRASHES;

/* attempts that may still ask the owner */
byte forwards = FORWARDS;

/* the number of runs of the operation, and the attempts that ran it */
byte runs = 0;
bit ran[ATTEMPTS + 1];

/* requests to the owner, and a slot for each attempt's reply */
chan asked = [ATTEMPTS] of { byte };
byte replied[ATTEMPTS + 1];

/* a write that the network delays */
chan late = [1] of { byte, byte, byte };

inline apply(atv, news, newh, result) {
	if
#ifdef NO_FENCE
	:: true ->
#else
	:: atv == version ->
#endif
		version++;
		state = news;
		holder = newh;
		result = OK
#ifndef NO_FENCE
	:: else -> result = CONFLICT
#endif
	fi
}

inline swap(atv, news, newh, result) {
	atomic {
		if
		:: skip -> apply(atv, news, newh, result)
		:: outages > 0 -> outages--; result = UNAVAILABLE
		:: losses > 0 -> losses--; result = UNKNOWN
		:: losses > 0 -> losses--; apply(atv, news, newh, result); result = UNKNOWN
		:: losses > 0 && empty(late) -> losses--; late!atv, news, newh; result = UNKNOWN
		fi
	}
}

/* forget resets the locals of a commit, which reduces the state space */
#define forget v = 0; result = 0

/* commit decides one request, like committer.commit */
inline commit(act, id, verdict) {
	verdict = FAILED;
	do
	:: atomic {
			/* read and decide */
			if
			:: act == CLAIM && state == CLAIMED && holder == id -> verdict = GRANTED; break
			:: act == CLAIM && state == CLAIMED && holder != id -> verdict = UNRESOLVED; break
			:: act == CLAIM && state == DONE -> verdict = RECORDED; break
			:: act == CLAIM && state == FREE -> v = version
#ifdef ANY_ID_SETTLES
			:: act != CLAIM && state != CLAIMED -> verdict = NOTED; break
			:: act != CLAIM && state == CLAIMED -> v = version
#else
			:: act != CLAIM && (state != CLAIMED || holder != id) -> verdict = NOTED; break
			:: act != CLAIM && state == CLAIMED && holder == id -> v = version
#endif
			fi
		};
		atomic {
			/* write the decision, based on the version that was read */
			if
			:: act == CLAIM -> swap(v, CLAIMED, id, result)
			:: act == FINISH -> swap(v, DONE, id, result)
			:: act == RELEASE -> swap(v, FREE, 0, result)
			fi;
			if
			:: result == OK -> forget; verdict = (act == CLAIM -> GRANTED : NOTED); break
			:: result == CONFLICT -> forget
#ifdef LOST_REPLY_IS_GRANT
			:: result == UNKNOWN -> forget; verdict = (act == CLAIM -> GRANTED : NOTED); break
#else
			:: result == UNKNOWN -> forget
#endif
			:: result == UNAVAILABLE -> forget; break
			fi
		}
	od
}

/* the owner commits forwarded requests one at a time; its reply may be lost */
active proctype Owner() {
	byte v, result, verdict, id;
end:	do
	:: asked?id ->
		commit(CLAIM, id, verdict);
#ifdef OWNER_RELEASES
		if
		:: verdict == FAILED -> commit(RELEASE, id, verdict); verdict = FAILED
		:: else -> skip
		fi;
#endif
		atomic { replied[id] = verdict; verdict = 0; id = 0 }
	od
}

/* the network delivers the delayed write at any time */
active proctype Network() {
	byte v, s, h, ignored;
end:	do
	:: atomic { late?v, s, h -> apply(v, s, h, ignored); v = 0; s = 0; h = 0; ignored = 0 }
	od
}

/* the attempt's host may crash at this step */
#define MAY_CRASH if :: atomic { crashes > 0 -> crashes--; goto dead } :: skip fi

inline send() {
	atomic {
		runs++;
		ran[id] = 1;
		/* at most once */
		assert(runs <= 1)
	}
}

proctype Attempt(byte id) {
	byte v, result, verdict;
	/* from here, the caller may resend to the next host at any time */
	if
	:: id < ATTEMPTS -> run Attempt(id + 1)
	:: else -> skip
	fi;
	/* ask the owner; its reply may arrive, fail or time out */
	if
	:: atomic { forwards > 0 -> forwards--; asked!id };
		if
		:: atomic { replied[id] != FAILED -> verdict = replied[id]; replied[id] = 0 }
		:: verdict = FAILED
		fi
	:: verdict = FAILED
	fi;
	if
	:: verdict == FAILED -> commit(CLAIM, id, verdict)
	:: else -> skip
	fi;
	MAY_CRASH;
	if
	:: verdict == GRANTED -> skip
	:: verdict == RECORDED ->
		/* an outcome is recorded only after a run */
		assert(runs == 1);
		goto done
	:: verdict == UNRESOLVED -> goto done
	:: verdict == FAILED ->
		/* release the claim, then answer not run */
		commit(RELEASE, id, verdict);
		goto notrun
	fi;
	if
	:: send();
		MAY_CRASH;
		if
		:: commit(FINISH, id, verdict); goto done
		:: skip /* the backend server's response is lost: outcome unknown */
#ifdef RETRY_PAST_COMMIT
			; send()
#endif
#ifdef NOT_RUN_AFTER_SEND
			; goto notrun
#endif
			; goto done
		fi
	:: /* the backend server provably did not run it */
		commit(RELEASE, id, verdict);
		MAY_CRASH;
		goto notrun
	fi;
notrun:	/* an answer of not run must be true */
	assert(ran[id] == 0);
done:
dead:	atomic { verdict = 0; result = 0; v = 0 }
}

init { run Attempt(1) }
