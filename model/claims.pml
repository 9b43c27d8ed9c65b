/* The journal of claims: state and rules of CLAIMS. */

/* The open slot: its mod revision, whether the key is claimed, and the writer of its content. */
byte mod = 1, writer = NONE;
bit wid;
byte slotTerm;    /* epoch in the slot */
bit claimedKey;
byte known[N];    /* mod revision known */
bit taken[N];     /* the home knows the key as claimed */
bit ready[N], loaded[N], fenced[N];
byte kind[N];     /* write under way: 0 none, 1 fence, 2 claim, 3 free, 4 stamp only */
bit sent[N];      /* it may still take effect */
bit lost[N];
byte wx[N];       /* mod revision that it replaces */
bit id[N];
bit granted[N];   /* the claim may be granted */
bit started[N];   /* a permit for it is out */
byte term[N];     /* epoch of the journal */
byte runs;
#ifdef MEMORY
#define WRITES 4 /* all homes together */
#else
#define WRITES 6
#endif

#ifdef MEMORY
#define GAP 1          /* age of the last stamp at a takeover after which claims may be missing */
#ifdef BROKEN_EARLY
#define FAILING 1
#else
#define FAILING (GAP + R + 1) /* age of the last stamp sent after which a home claims in memory */
#endif
#define OLD FAILING /* ages are counted up to here */
bit born;              /* the key has been made; it carries that time */
byte stampAge;         /* since the stamp in the store */
bit stampBefore = 1;   /* the stamp is older than the key */
byte sentAge[N];       /* the same of the last write sent */
bit sentBefore[N];
bit gapBefore[N];      /* the same of the beginning of the gap that a new home found */
bit gap[N];
bit inMemory[N];
bit with[N];           /* the write under way holds the claim in memory */
#define forgetMemory(i) inMemory[i] = 0
#define canClaim(i) (born && !(gap[i] && gapBefore[i]))
#else
#define canClaim(i) true
#define forgetMemory(i) skip
#endif

inline commit(i) {
	known[i] = mod; 
	if
	:: kind[i] == 1 -> ready[i] = 1
	:: kind[i] == 2 -> granted[i] = 1;
#ifndef MEMORY
	   /* No home commits a claim once a newer one may grant. */
	   assert(!(ready[other(i, 1)] && term[other(i, 1)] > term[i]))
#else
	   skip
#endif
	:: kind[i] == 3 -> taken[i] = 0
	:: kind[i] == 4
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
#ifdef MEMORY
	   stampAge = sentAge[i]; stampBefore = sentBefore[i];
	   claimedKey = claimedKey || with[i];
#endif

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

/* Journal.ReadBackDone */
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
	kind[i] = what; sent[i] = 1; lost[i] = 0; wx[i] = known[i]; id[i] = 1 - id[i];
#ifdef MEMORY
	with[i] = inMemory[i];
	if
	:: what != 1 -> sentAge[i] = 0; sentBefore[i] = !born
	:: else /* a fence does not move the stamp */
	fi
#endif
}
#define idle(i) (kind[i] == 0 && !sent[i] && mod <= WRITES)
/* A Journal belongs to one takeover. */
#define newJournal(i) loaded[i] = 0; ready[i] = 0; fenced[i] = 0; kind[i] = 0; lost[i] = 0; granted[i] = 0; started[i] = 0; taken[i] = 0; forgetMemory(i)
