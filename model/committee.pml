/*
 * The committee: proposal, collision, casting vote, acceptance, replication.
 * docs/MODEL.md maps each step to the function that implements it.
 *
 * The committee has two members; member 0 is the chair. Two proposals change the
 * same object, so they collide; an equal vote is a tie. Five commands arrive in
 * any order, each at its own entry host: two proposals (with their authors' votes
 * in favour), a vote of the other member on each, and the chair's ruling. The
 * whole state is one value in the store, written by compare-and-swap. The store
 * may drop a write, lose its reply or apply it late; operators repeat a command
 * with an unknown outcome. Two more hosts follow the accepted revision, from the
 * store or from each other, with messages that may be delayed; one of them is
 * replaced and starts without state.
 *
 * A fault is seeded by one of -DNO_FENCE, -DFIRST_WRITER_WINS,
 * -DACCEPT_LOWER, -DREPEAT_WITHOUT_ID, -DLOST_REPLY_IS_NOT_ACCEPTED; the checker
 * must find each.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef FETCHES
#define FETCHES 2
#endif

/* states of a proposal */
#define ABSENT 0
#define OPEN 1
#define ACCEPTED 2
#define REJECTED 3
#define OVERRULED 4

/* votes */
#define NONE 0
#define FOR 1
#define AGAINST 2

/* commands, by their ids; proposal p is made by command p */
#define VOTE_ON 2 /* + proposal */
#define RULE 4
#define COMMANDS 5

/* the outcome of a command as known to its operator */
#define NOTHING 0
#define TAKEN 1
#define NOT_ACCEPTED 2

typedef Head {
	byte revision;
	byte value;
	byte taken; /* a bit for each command that was applied */
	byte stage[2];
	byte vote[4]; /* proposal * 2 + member */
	bit prevails[2];
	byte yields[2] /* 1 + the proposal that takes precedence, or 0 */
};

Head store;
byte version = 1;

/* a write that the network delays */
Head late;
byte lateVersion = 0;
byte lateCommand;
byte lateChoice;

byte losses = LOSSES;

/* observations for the properties */
byte history[4];
byte told[COMMANDS];
byte times[COMMANDS];
byte chairsChoice = 0; /* 1 + the last proposal that the chair ruled for */

inline copy(to, from) {
	to.revision = from.revision;
	to.value = from.value;
	to.taken = from.taken;
	to.stage[0] = from.stage[0];
	to.stage[1] = from.stage[1];
	to.vote[0] = from.vote[0];
	to.vote[1] = from.vote[1];
	to.vote[2] = from.vote[2];
	to.vote[3] = from.vote[3];
	to.prevails[0] = from.prevails[0];
	to.prevails[1] = from.prevails[1];
	to.yields[0] = from.yields[0];
	to.yields[1] = from.yields[1]
}

inline clear(to) {
	to.revision = 0; to.value = 0; to.taken = 0;
	to.stage[0] = 0; to.stage[1] = 0;
	to.vote[0] = 0; to.vote[1] = 0; to.vote[2] = 0; to.vote[3] = 0;
	to.prevails[0] = 0; to.prevails[1] = 0;
	to.yields[0] = 0; to.yields[1] = 0
}

/* predicates on the votes of proposal q in s */
#define BOTH(s, q, v) (s.vote[(q) * 2] == v && s.vote[(q) * 2 + 1] == v)
#define TIED(s, q) (s.vote[(q) * 2] + s.vote[(q) * 2 + 1] == FOR + AGAINST && s.vote[(q) * 2] != NONE && s.vote[(q) * 2 + 1] != NONE)
/* both proposals are based on revision 1, so a higher revision conflicts with them */
#define DISPUTED(s, q) (!s.prevails[q] && (s.stage[1 - (q)] == OPEN || s.revision > 1))
#ifdef FIRST_WRITER_WINS
#define HELD(s, q) false
#else
#define HELD(s, q) DISPUTED(s, q)
#endif

inline accept(s, q) {
	/* of two colliding proposals, none takes effect before the chair has chosen it */
	assert(chosen == (q) + 1 || (s.stage[1 - (q)] != OPEN && s.stage[1 - (q)] != ACCEPTED));
	s.revision = s.revision + 1;
	s.value = (q) + 1;
	s.stage[q] = ACCEPTED;
	if
	:: s.stage[1 - (q)] == OPEN && s.yields[1 - (q)] == (q) + 1 -> s.stage[1 - (q)] = OVERRULED
	:: else
	fi
}

inline settleOne(s, q) {
	if
	:: s.stage[q] == OPEN && BOTH(s, q, AGAINST) -> s.stage[q] = REJECTED
	:: s.stage[q] == OPEN && BOTH(s, q, FOR) && !HELD(s, q) -> accept(s, q)
	:: else
	fi
}

inline settle(s) {
	settleOne(s, 0);
	settleOne(s, 1);
	settleOne(s, 0)
}

/* rule applies the chair's ruling for or against proposal q */
inline rule(s, q, favour) {
	if
	:: favour && s.stage[q] == ACCEPTED && s.stage[1 - (q)] == OPEN ->
		chosen = (q) + 1;
		s.stage[1 - (q)] = OVERRULED
	:: s.stage[q] == OPEN && !TIED(s, q) && !DISPUTED(s, q) -> refused = true
	:: s.stage[q] == OPEN && !favour && TIED(s, q) -> s.stage[q] = REJECTED
	:: s.stage[q] == OPEN && !favour && !TIED(s, q) && DISPUTED(s, q) -> s.stage[q] = OVERRULED
	:: s.stage[q] == OPEN && favour && (TIED(s, q) || DISPUTED(s, q)) ->
		chosen = (q) + 1;
		tie = TIED(s, q);
		if
		:: s.stage[1 - (q)] == OPEN -> s.prevails[1 - (q)] = 0; s.yields[1 - (q)] = (q) + 1
		:: else
		fi;
		s.prevails[q] = 1;
		s.yields[q] = 0;
		s.vote[(q) * 2] = FOR;
		if
		:: tie -> accept(s, q)
		:: else
		fi;
		tie = false
	:: else -> refused = true
	fi
}

/* decide applies the command to the copy that was read */
inline decide(s) {
	refused = false;
	chosen = chairsChoice;
	if
	:: id < VOTE_ON ->
		s.stage[id] = OPEN;
		s.vote[id * 2 + 1 - id] = FOR /* 0 is by member 1, 1 is by member 0 */
	:: id >= VOTE_ON && id < RULE && s.stage[id - VOTE_ON] == OPEN ->
		s.vote[(id - VOTE_ON) * 2 + id - VOTE_ON] = choice
	:: id >= VOTE_ON && id < RULE && s.stage[id - VOTE_ON] != OPEN -> refused = true
	:: id == RULE -> rule(s, object, (choice == FOR))
	fi;
	if
	:: !refused -> s.taken = s.taken | (1 << id); settle(s)
	:: else
	fi
}

/* apply writes s if the store is still at the version on which s is based */
inline apply(s, at, command, newChoice) {
	if
#ifdef NO_FENCE
	:: true ->
#else
	:: at == version ->
#endif
		/* an accepted configuration never reverts */
		assert(s.revision >= store.revision);
		assert(s.revision > store.revision || s.value == store.value);
		copy(store, s);
		version++;
		history[store.revision] = store.value;
		chairsChoice = newChoice;
		/* no command is applied twice */
		times[command]++;
		assert(times[command] == 1);
		result = 1
#ifndef NO_FENCE
	:: else -> result = 0
#endif
	fi
}

/* reported outcomes stay true; checked after each write and answer */
inline truth() {
	assert(told[0] != TAKEN || (store.taken & 1));
	assert(told[1] != TAKEN || (store.taken & 2));
	assert(told[2] != TAKEN || (store.taken & 4));
	assert(told[3] != TAKEN || (store.taken & 8));
	assert(told[4] != TAKEN || (store.taken & 16));
	assert(told[0] != NOT_ACCEPTED || !(store.taken & 1));
	assert(told[1] != NOT_ACCEPTED || !(store.taken & 2));
	assert(told[2] != NOT_ACCEPTED || !(store.taken & 4));
	assert(told[3] != NOT_ACCEPTED || !(store.taken & 8));
	assert(told[4] != NOT_ACCEPTED || !(store.taken & 16))
}

/* a vote or a ruling requires its proposals to exist */
#define READY (id < VOTE_ON || (id < RULE && store.stage[id - VOTE_ON] != ABSENT) || (id == RULE && store.stage[0] != ABSENT && store.stage[1] != ABSENT))

proctype Command(byte id) {
	Head mine;
	byte at, choice, object, result, chosen, pending;
	bit refused, tie;
	/* the votes on a proposal that was lost and abandoned wait forever */
end:	atomic {
		READY;
		if
		:: id < VOTE_ON -> skip
		:: id >= VOTE_ON -> choice = FOR
		:: id >= VOTE_ON -> choice = AGAINST
		fi;
		if
		:: id == RULE -> object = 0
		:: id == RULE -> object = 1
		:: id != RULE -> skip
		fi
	};
	do
	:: atomic {
			/* read and decide */
			at = version;
			copy(mine, store);
			if
			:: at > pending -> pending = 0
			:: else
			fi;
#ifdef REPEAT_WITHOUT_ID
			decide(mine);
#else
			if
			:: mine.taken & (1 << id) -> told[id] = TAKEN; truth(); break
			:: else -> decide(mine)
			fi;
#endif
			if
			:: refused && !pending -> told[id] = NOT_ACCEPTED; truth(); break
			:: refused && pending -> skip
			:: !refused -> skip
			fi
		};
		atomic {
			/* write; without a reply, read again */
			if
			:: refused -> skip
			:: !refused ->
				if
				:: apply(mine, at, id, chosen);
					if
					:: result -> told[id] = TAKEN; truth(); break
					:: else
					fi
				:: losses > 0 -> losses--; pending = at
				:: losses > 0 -> losses--; pending = at; apply(mine, at, id, chosen)
				:: losses > 0 && lateVersion == 0 -> losses--; pending = at;
					copy(late, mine); lateVersion = at; lateCommand = id; lateChoice = chosen
				fi
			fi;
			clear(mine); at = 0; result = 0; refused = 0; chosen = 0
		};
		if
		:: skip
		:: atomic { pending > 0 ->
				/* the operator gives up; the outcome is not known yet */
#ifdef LOST_REPLY_IS_NOT_ACCEPTED
				told[id] = NOT_ACCEPTED;
				truth();
#endif
				break
			}
		fi
	od;
	atomic { clear(mine); at = 0; result = 0; refused = 0; chosen = 0; pending = 0; choice = 0; object = 0 }
}

active proctype Network() {
	byte result;
end:	do
	:: atomic { lateVersion > 0 ->
			apply(late, lateVersion, lateCommand, lateChoice);
			clear(late); lateVersion = 0; lateCommand = 0; lateChoice = 0; result = 0;
			truth()
		}
	od
}

/* revision and value in force on two hosts */
byte inForce[2];
byte valueOf[2];

proctype Follower(byte me) {
	byte revision, value, fetches = FETCHES;
	bit replaced;
	do
	:: fetches > 0 ->
		/* a message leaves the store or the other host */
		atomic {
			fetches--;
			if
			:: revision = store.revision; value = store.value
			:: revision = inForce[1 - me]; value = valueOf[1 - me]
			fi
		};
		/* and arrives later */
		atomic {
#ifdef ACCEPT_LOWER
			if
			:: revision != inForce[me] ->
#else
			if
			:: revision > inForce[me] ->
#endif
				/* a host's revision never decreases */
				assert(revision > inForce[me]);
				inForce[me] = revision;
				valueOf[me] = value;
				/* and its value is the one accepted as that revision */
				assert(value == history[revision])
			:: else
			fi;
			revision = 0; value = 0
		}
	:: atomic { me == 0 && !replaced -> replaced = 1; inForce[me] = 0; valueOf[me] = 0 }
	:: fetches == 0 -> break
	od
}

init {
	atomic {
		store.revision = 1;
		run Command(0);
		run Command(1);
		run Command(2);
		run Command(3);
		run Command(4);
#ifndef NO_FOLLOWERS
		run Follower(0);
		run Follower(1)
#endif
	};
	/* at the end, the chair's choice is in force if all members vote for it */
	timeout ->
	assert(chairsChoice == 0 || !BOTH(store, chairsChoice - 1, FOR) || store.value == chairsChoice)
}
