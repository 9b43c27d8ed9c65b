/* The home record and the rights to grant: state and rules of TENURE and CLAIMS. */

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
#ifdef MEMORY
#define EPOCHS 2
#else
#define EPOCHS 3
#endif
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

/* Tenure.ReadDone */
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
	   :: call[i] == 1 -> /* Tenure.SwapDone */
	      call[i] = 0; doubt[i] = 0; learn(i); right[i] = R;
	      if
	      :: released -> delay[i] = 0
	      :: else
	      fi
#ifndef MEMORY
	   :: call[i] == 1 -> call[i] = 2 /* Tenure.SwapLost */
#endif
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
