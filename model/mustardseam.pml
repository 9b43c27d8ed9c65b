/*
 * The core protocol of mustardseam, checked by model/check. Select one part:
 *   -DTENURE  who may grant requests to a pool's servers (package tenure)
 *   -DCLAIMS  which keyed request may run (package claim, on top of tenure)
 *   -DCONFIG  which configuration is in force, and rollback marks (packages revision and rollout)
 * -DBROKEN_<name> breaks one rule; the search must then find an error.
 *
 * Time passes in ticks, and no step is ever forced. Pauses, slow and lost messages and store outages are therefore steps
 * that come late or not at all. docs/model.md names the Go functions behind each step.
 */
#define NONE 9
#define BIT(i) (1 << (i))
#define DEC(t) t = (t > 0 -> t - 1 : 0)

#if defined(TENURE) || defined(CLAIMS)

#define R 2 /* grant right, in ticks; drift is left out on both sides */
#define S 1 /* start window */
#ifdef BROKEN_NO_WAIT
#define W 0
#else
#define W (R + S)
#endif

#ifdef TENURE
#define N 3         /* 0 and 1 are candidates at first; 2 starts later */
#define EPOCHS 3
#ifndef CRASHES
#define CRASHES 2
#endif
#else
#define N 2
#define EPOCHS 3
#define CRASHES 0
#endif

/* The record in the store; each change raises the epoch, so the epoch stands for the mod revision. */
byte epoch = 1, home = 0, candidates = 3;
bit released;

/* Per instance: what it knows. */
byte ep[N], hm[N], vt[N];
byte right[N];   /* left of the right confirmed by the store */
#ifdef BROKEN_FROM_ANSWER
bit answer[N];   /* a read that showed the own epoch is not answered yet */
#endif
byte delay[N];   /* wait before the first grant */
byte toHome[N], toShare[N]; /* left of promises given */
byte cons[N * N];           /* left of consents got; index: asker * N + voter */
bit net[N];      /* own swap may still take effect */
byte nx[N];      /* epoch that it replaces */
bit doubt[N];    /* as far as the instance knows, its swap may still take effect, or has */
byte call[N];    /* own swap: 0 none, 1 waits for the answer, 2 the answer is lost */
bit dead[N], closed[N];
bit sharing[N];  /* static share is agreed on */
byte permit[N];  /* left of the window of the last permit */
bit shared[N];   /* it was granted as static share */
byte tomb[N];    /* left until the death of the instance counts */
byte crashes;
byte k;

#define other(i, d) ((i + d) % N)
#define E (R + S) /* absence from the list after which an instance counts as ended */
#define ended(i) (i < N && dead[i] && tomb[i] == 0)
#ifdef BROKEN_ELECTORATE
#define anyEnded(i) false
#elif defined(TENURE)
#define anyEnded(i) ((vt[i] & BIT(other(i, 1)) && ended(other(i, 1))) || (vt[i] & BIT(other(i, 2)) && ended(other(i, 2))))
#else
#define anyEnded(i) false
#endif
#define needs(i, j) (!ended(j) && (vt[i] & BIT(j) || anyEnded(i)))
#define agrees(i, j) (!needs(i, j) || cons[i * N + j] > 0)
#ifdef TENURE
#define unanimous(i) (agrees(i, other(i, 1)) && agrees(i, other(i, 2)))
#else
#define unanimous(i) false
#endif

#ifdef BROKEN_NO_CHECK /* a paused home grants on without a look at the clock */
#define mayGrant(i) (hm[i] == i && !closed[i] && !dead[i] && delay[i] == 0)
#else
#define mayGrant(i) (hm[i] == i && !closed[i] && !dead[i] && delay[i] == 0 && (right[i] > 0 || unanimous(i)))
#endif

inline forget(i) {
	right[i] = 0; sharing[i] = 0;
	for (k : 0 .. N - 1) { cons[i * N + k] = 0 }
}

/* tenure.adopt */
inline learn(i) {
	if
	:: ep[i] != epoch -> forget(i); ep[i] = epoch; hm[i] = home; vt[i] = candidates;
	   if
	   :: home == i -> delay[i] = W
	   :: else -> delay[i] = 0
	   fi
	:: else -> vt[i] = candidates; hm[i] = home
	fi
}

/* Tenure.Observed */
inline read(i) {
	learn(i);
	if
	:: home == i ->
#ifdef BROKEN_FROM_ANSWER
	   answer[i] = 1
#else
	   right[i] = R /* an answer that comes later shortens the right, which counts from the start of the read */
#endif
	:: else
	fi;
	doubt[i] = (doubt[i] && epoch == nx[i]);
	call[i] = 0
}

/* The store applies or refuses a swap; the client may have given up. */
inline apply(i) {
	net[i] = 0;
	if
	:: epoch == nx[i] ->
	   epoch++; home = i;
#ifdef TENURE
	   candidates = 0;
	   for (k : 0 .. N - 1) { candidates = candidates | (dead[k] -> 0 : BIT(k)) };
#endif
	   if
	   :: call[i] == 1 -> /* Tenure.Swapped */
	      call[i] = 0; doubt[i] = 0; learn(i); right[i] = R;
	      if
	      :: released -> delay[i] = 0
	      :: else
	      fi
	   :: call[i] == 1 -> call[i] = 2 /* Tenure.SwapLost */
	   :: call[i] != 1
	   fi;
	   released = 0
	:: else -> call[i] = (call[i] == 1 -> 0 : call[i]) /* Tenure.SwapConflict */
	fi
}

#ifdef BROKEN_ANYONE
#define mayRun(i) (ep[i] > 0)
#else
#define mayRun(i) (vt[i] & BIT(i))
#endif

#ifdef BROKEN_STATIC_ALONE
#define agreed(i) true
#else
#define agreed(i) unanimous(i)
#endif

inline crash(i) {
	dead[i] = 1; forget(i);
	delay[i] = 0; toHome[i] = 0; toShare[i] = 0; call[i] = 0; tomb[i] = E;
	crashes++
}

/* Tenure.Consent as asked by the home i */
inline consentToHome(asker, voter) {
	if
	:: ep[voter] < ep[asker] -> forget(voter); ep[voter] = ep[asker]; hm[voter] = asker; vt[voter] = 0
	:: else
	fi;
	cons[asker * N + voter] = R; toHome[voter] = R
}

/* Tenure.Consent as asked by a candidate that wants to grant its static share */
inline consentToShare(asker, voter) {
	if
	:: ep[voter] < ep[asker] -> forget(voter); ep[voter] = ep[asker]; hm[voter] = hm[asker]; vt[voter] = 0
	:: else
	fi;
	cons[asker * N + voter] = R; toShare[voter] = R
}

#define holds(i) (hm[i] == i && !dead[i])
#ifdef BROKEN_DOUBT
#define settled(j) true
#else
#define settled(j) (!doubt[j])
#endif

#define homeAsks(a, v) (holds(a) && !dead[v] && ep[v] <= ep[a] && hm[v] != v && settled(v) && toShare[v] == 0 && \
	!sharing[v] && !(permit[v] > 0 && shared[v]))
#define sharerAsks(a, v) (!dead[a] && !dead[v] && hm[a] != a && hm[v] != v && ended(hm[a]) && ep[a] > 0 && \
	ep[v] <= ep[a] && toHome[v] == 0)

#ifdef TENURE
#define free(i) (permit[other(i, 1)] == 0 && permit[other(i, 2)] == 0)
#define alone(i) ((permit[other(i, 1)] == 0 || shared[other(i, 1)]) && (permit[other(i, 2)] == 0 || shared[other(i, 2)]))
#else
#define free(i) (permit[other(i, 1)] == 0)
#endif

#ifdef CLAIMS
/* The open slot: its mod revision, whether the key is claimed, and the writer of its content. */
byte mod = 1, writer = NONE;
bit wid;
byte slotTerm;    /* epoch in the slot */
bit claimedKey;
byte known[N];    /* mod revision known */
bit taken[N];     /* the home knows the key as claimed */
bit ready[N], loaded[N], fenced[N];
byte kind[N];     /* write under way: 0 none, 1 fence, 2 claim, 3 free */
bit sent[N];      /* it may still take effect */
bit lost[N];
byte wx[N];       /* mod revision that it replaces */
bit id[N];
bit granted[N];   /* the claim may be granted */
bit started[N];   /* a permit for it is out */
byte term[N];     /* epoch of the journal */
byte runs;
#ifndef WRITES
#define WRITES 6 /* all homes together */
#endif

inline commit(i) {
	known[i] = mod; 
	if
	:: kind[i] == 1 -> ready[i] = 1
	:: kind[i] == 2 -> granted[i] = 1;
	   /* No home commits a claim once a newer one may grant. */
	   assert(!(ready[other(i, 1)] && term[other(i, 1)] > term[i]))
	:: kind[i] == 3 -> taken[i] = 0
	fi;
	kind[i] = 0; lost[i] = 0
}

inline applyWrite(i) {
	sent[i] = 0;
	if
#ifdef BROKEN_FENCE /* a new slot is created without a swap of the open one */
	:: true ->
#else
	:: mod == wx[i] ->
#endif
	   mod++; writer = i; wid = id[i]; slotTerm = term[i];
	   claimedKey = (kind[i] == 2 -> 1 : (kind[i] == 3 -> 0 : claimedKey));
	   if
	   :: !lost[i] -> commit(i)
	   :: lost[i] = 1
	   fi
#ifndef BROKEN_FENCE
	:: else -> lost[i] = 1
#endif
	fi
}

/* Journal.ReadBack */
inline readBack(i) {
	if
#ifdef BROKEN_LOST /* a lost write is taken for written */
	:: true -> commit(i)
#else
	:: writer == i && wid == id[i] -> commit(i)
	:: !(writer == i && wid == id[i]) && mod == wx[i] -> lost[i] = 0; sent[i] = 1 /* again, unchanged */
	:: !(writer == i && wid == id[i]) && mod != wx[i] ->
	   if
	   :: ready[i] -> fenced[i] = 1; kind[i] = 0; lost[i] = 0
	   :: else -> loaded[i] = 0; kind[i] = 0; lost[i] = 0
	   fi
#endif
	fi
}

inline send(i, what) {
	kind[i] = what; sent[i] = 1; lost[i] = 0; wx[i] = known[i]; id[i] = 1 - id[i]
}
#define idle(i) (kind[i] == 0 && !sent[i] && mod <= WRITES)
/* A Journal belongs to one takeover. */
#define newJournal(i) loaded[i] = 0; ready[i] = 0; fenced[i] = 0; kind[i] = 0; lost[i] = 0; granted[i] = 0; started[i] = 0; taken[i] = 0
#endif

proctype instance(byte i) {
	do
	/* Step: Read */
	:: atomic { !dead[i] && call[i] != 1 && (hm[i] == i || ep[i] != epoch || call[i] == 2) -> read(i) }
#ifdef BROKEN_FROM_ANSWER
	:: atomic { answer[i] && !dead[i] && hm[i] == i -> answer[i] = 0; right[i] = R }
#endif
	/* Step: Swap, when the home is suspected, rightly or not */
	:: atomic { !dead[i] && !closed[i] && hm[i] != i && mayRun(i) && call[i] == 0 && !net[i] && ep[i] < EPOCHS && ep[i] > 0 &&
	     toHome[i] == 0 && toShare[i] == 0 -> net[i] = 1; nx[i] = ep[i]; call[i] = 1; doubt[i] = 1 }
	:: atomic { net[i] -> apply(i) }
	:: atomic { call[i] == 1 && net[i] -> call[i] = 2 }
	/* Tenure.Consent to the home j */
#ifdef TENURE
	:: atomic { homeAsks(other(i, 1), i) -> consentToHome(other(i, 1), i) }
	:: atomic { homeAsks(other(i, 2), i) -> consentToHome(other(i, 2), i) }
#endif
#ifdef TENURE
	/* Tenure.MayGrant as home */
	:: atomic { mayGrant(i) && permit[i] == 0 -> assert(free(i)); permit[i] = S; shared[i] = 0 }
	/* Tenure.Consent to the static share of j, while the store does not answer i */
	:: atomic { sharerAsks(other(i, 1), i) -> consentToShare(other(i, 1), i) }
	:: atomic { sharerAsks(other(i, 2), i) -> consentToShare(other(i, 2), i) }
	/* tenure.beginStatic */
	:: atomic { !dead[i] && hm[i] != i && ended(hm[i]) && vt[i] & BIT(i) && call[i] == 0 && agreed(i) && !sharing[i] && toHome[i] == 0 ->
	     sharing[i] = 1;
#ifdef BROKEN_STATIC_NO_WAIT
	   delay[i] = 0
#else
	   delay[i] = W
#endif
	   }
	/* Tenure.MayGrant with a static share */
	:: atomic { !dead[i] && sharing[i] && delay[i] == 0 && agreed(i) && call[i] == 0 && toHome[i] == 0 && permit[i] == 0 ->
	     assert(alone(i)); permit[i] = S; shared[i] = 1 }
	/* Tenure.Stop, then Tenure.Release */
	:: atomic { holds(i) && !closed[i] && call[i] == 0 && epoch < EPOCHS -> closed[i] = 1 }
#ifdef BROKEN_RELEASE
	:: atomic { holds(i) && closed[i] && ep[i] == epoch && epoch < EPOCHS -> epoch++; released = 1; home = NONE; hm[i] = NONE; ep[i] = epoch }
#else
	:: atomic { holds(i) && closed[i] && ep[i] == epoch && epoch < EPOCHS && permit[i] == 0 -> epoch++; released = 1; home = NONE; hm[i] = NONE; ep[i] = epoch }
#endif
	:: atomic { !dead[i] && crashes < CRASHES -> crash(i) }
#endif
#ifdef CLAIMS
	:: atomic { hm[i] == i && term[i] != ep[i] -> newJournal(i); term[i] = ep[i] }
	/* Journal.Load */
	:: atomic { hm[i] == i && term[i] == ep[i] && !loaded[i] && idle(i) -> loaded[i] = 1; known[i] = mod; taken[i] = claimedKey;
#ifndef BROKEN_OLD_LOAD
	   fenced[i] = (slotTerm > term[i])
#endif
	   }
	/* Journal.Pending: the first write fences earlier homes off */
	:: atomic { hm[i] == i && term[i] == ep[i] && loaded[i] && !ready[i] && !fenced[i] && idle(i) ->
#ifdef BROKEN_NO_FENCE
	   ready[i] = 1
#else
	   send(i, 1)
#endif
	   }
	/* Journal.Claim of a retry that reached this home */
	:: atomic { ready[i] && !fenced[i] && !taken[i] && idle(i) -> taken[i] = 1; started[i] = 0; granted[i] = 0; send(i, 2) }
	:: atomic { sent[i] -> applyWrite(i) }
	:: atomic { sent[i] && !lost[i] -> lost[i] = 1 }
	:: atomic { lost[i] && kind[i] != 0 -> readBack(i) }
	/* Journal.Start under Tenure.MayGrant */
	:: atomic { granted[i] && !started[i] && mayGrant(i) && permit[i] == 0 -> started[i] = 1; permit[i] = S }
	/* The entry instance starts the request within the window. */
	:: atomic { permit[i] > 0 && started[i] && !shared[i] -> shared[i] = 1; permit[i] = 0; runs++; assert(runs <= 1) }
	/* Journal.NotRun, when the permit can no longer be started */
#ifdef BROKEN_FREE
	:: atomic { started[i] && !shared[i] && ready[i] && !fenced[i] && idle(i) && taken[i] -> send(i, 3) }
#else
	:: atomic { started[i] && !shared[i] && permit[i] == 0 && ready[i] && !fenced[i] && idle(i) && taken[i] -> send(i, 3) }
#endif
#endif
	od
}

#ifdef TENURE
/* Instance 2 starts, as a restarted or a new one. */
proctype starter() { atomic { dead[2] -> dead[2] = 0 } }
#endif

proctype clock() {
	byte i;
	do
	:: d_step {
		for (i : 0 .. N - 1) {
			DEC(right[i]); DEC(delay[i]); DEC(toHome[i]); DEC(toShare[i]); DEC(permit[i]); DEC(tomb[i]);
			for (k : 0 .. N - 1) { DEC(cons[i * N + k]) }
		}
		for (i : 0 .. N - 1) { sharing[i] = (sharing[i] && agreed(i)) }
		k = 0; i = 0 }
	od
}

init {
	atomic {
		ep[0] = 1; ep[1] = 1; hm[0] = 0; hm[1] = 0; vt[0] = 3; vt[1] = 3;
#ifdef TENURE
		hm[2] = NONE; dead[2] = 1;
		run starter();
		run instance(2);
#endif
		run instance(0); run instance(1); run clock()
	}
}
#endif

#ifdef CONFIG
#define N 3
#define REVISIONS 2
#define STOPS 2
#define STEPS 1

byte head;                  /* revision in the store */
byte author[REVISIONS + 1]; /* submit that made it */
byte rev[N];                /* in force */
bit up[N];                  /* ready */
bit mark[N];
byte least;                 /* highest revision that was once in force at all ready instances */
bit msg, msgMark;           /* one heartbeat that may come late, more than once or never */
byte msgRev;
bit storeMark;              /* rollout record in the store */
byte version, step;
byte stops;
byte m;

#define found(s) (author[1] == s || author[2] == s)
#define smaller(a, b) (a < b -> a : b)
#define inForce(i) (up[i] -> rev[i] : 255)

inline note() {
	m = smaller(inForce(0), inForce(1));
	m = smaller(m, inForce(2));
	least = (m != 255 && m > least -> m : least);
	m = 0
}

/* mustardctl submit */
proctype submitter(byte s) {
	byte base, state; /* 0 new, 1 sent, 2 accepted, 3 answer lost, 4 refused */
	bit net;
	do
	:: atomic { state == 0 && head < REVISIONS -> base = head; state = 1; net = 1 }
	:: atomic { net -> net = 0;
	   if
	   :: head == base -> head++; author[head] = s;
	      if
	      :: state == 1 -> state = 2
	      :: state == 1 -> state = 3
	      :: state != 1
	      fi
	   :: head != base -> state = (state == 1 -> 4 : state)
	   fi }
	:: atomic { state == 1 -> state = 3 }
	:: atomic { state == 3 ->
	   if
	   :: found(s) -> state = 2
	   :: !found(s) && head != base -> state = 4 /* it can no longer take effect */
#ifdef BROKEN_SUBMIT
	   :: !found(s) && head == base -> state = 4
#else
	   :: !found(s) && head == base && !net -> net = 1
#endif
	   fi }
	:: atomic { state == 2 -> assert(found(s)) }
	:: atomic { state == 4 -> assert(!found(s)) }
	od
}

proctype instance(byte i) {
	byte old, expected;
	bit marked;
	do
	/* Holder.Apply of the head that the watch or a read shows */
	:: atomic { up[i] && rev[i] < head -> rev[i] = head; note() }
	/* a heartbeat */
	:: atomic { up[i] && !msg -> msg = 1; msgRev = rev[i]; msgMark = mark[i] }
	:: atomic { up[i] && msg -> old = rev[i];
#ifdef BROKEN_REVERT
	   rev[i] = msgRev;
#else
	   rev[i] = (msgRev > rev[i] -> msgRev : rev[i]);
#endif
	   assert(rev[i] >= old);
	   old = mark[i];
#ifdef BROKEN_MARK
	   mark[i] = msgMark;
#else
	   mark[i] = mark[i] || msgMark;
#endif
	   assert(mark[i] >= old);
	   old = 0; note() }
	:: atomic { msg -> msg = 0; msgRev = 0; msgMark = 0 }
	/* stop and start; the store or a ready peer answers */
	:: atomic { up[i] && stops < STOPS -> up[i] = 0; rev[i] = 0; mark[i] = 0; expected = 0; marked = 0; stops++ }
	:: atomic { !up[i] ->
	   if
	   :: true -> rev[i] = head; mark[i] = storeMark
	   :: up[(i + 1) % N] -> rev[i] = rev[(i + 1) % N]; mark[i] = mark[(i + 1) % N]
	   :: up[(i + 2) % N] -> rev[i] = rev[(i + 2) % N]; mark[i] = mark[(i + 2) % N]
#ifdef BROKEN_START /* ready without any answer */
	   :: true
#endif
	   fi;
	   assert(rev[i] >= least);
	   up[i] = 1; note() }
	/* Marks: a fault is evident; the mark goes to the store when that answers */
	:: atomic { up[i] && !mark[i] -> mark[i] = 1 }
	:: atomic { up[i] && mark[i] && !storeMark -> storeMark = 1; version++ }
	/* an advance of the rollout, read first and written later */
	:: atomic { up[i] && !mark[i] && step < STEPS && expected == 0 -> expected = version + 1; marked = storeMark }
#ifdef BROKEN_ADVANCE
	:: atomic { expected > 0 && !marked && step < STEPS -> assert(!storeMark); step++; version++; expected = 0 }
#else
	:: atomic { expected > 0 && !marked && step < STEPS && version + 1 == expected -> assert(!storeMark); step++; version++; expected = 0 }
#endif
	:: atomic { expected > 0 -> expected = 0; marked = 0 }
	od
}

init {
	atomic {
		up[0] = 1; up[1] = 1; up[2] = 1;
		run submitter(1); run submitter(2);
		run instance(0); run instance(1); run instance(2)
	}
}
#endif
