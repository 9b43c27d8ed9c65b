/*
 * The core protocol of mustardseam, checked by model/check. Select one part:
 *   -DTENURE  who may grant requests to a pool's servers (package tenure)
 *   -DCLAIMS  which keyed request may run (package claim, on top of tenure)
 *   -DMEMORY  with -DCLAIMS: claims in memory while the journal cannot be written
 *   -DCONFIG  which configuration is in force, and rollback marks (packages revision and rollout)
 * -DBROKEN_<name> breaks one rule; the search must then find an error.
 *
 * Time passes in ticks, and no step is ever forced. Pauses, slow and lost messages and store outages are therefore steps
 * that come late or not at all. docs/model.md names the Go functions behind each step.
 */
#define NONE 9
#define BIT(i) (1 << (i))
#define DEC(t) t = (t > 0 -> t - 1 : 0)
#define INC(t) t = (t < OLD -> t + 1 : OLD)

#if defined(TENURE) || defined(CLAIMS)

#include "tenure.pml"
#ifdef CLAIMS
#include "claims.pml"
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
#ifndef MEMORY
	:: atomic { call[i] == 1 && net[i] -> call[i] = 2 }
#endif
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
	   fenced[i] = (slotTerm > term[i]);
#endif
#ifdef MEMORY
	   sentAge[i] = stampAge; sentBefore[i] = stampBefore; gapBefore[i] = stampBefore;
#ifndef BROKEN_GAP
	   gap[i] = (term[i] > 1 && stampAge > GAP)
#endif
#endif
	   }
	/* Journal.NextWrite: the first write fences earlier homes off */
	:: atomic { hm[i] == i && term[i] == ep[i] && loaded[i] && !ready[i] && !fenced[i] && idle(i) ->
#ifdef BROKEN_NO_FENCE
	   ready[i] = 1
#else
	   send(i, 1)
#endif
	   }
#ifdef MEMORY
	/* Journal.mayClaimInMemory: the last write sent has no answer for long, and its stamp is older than the key */
	:: atomic { ready[i] && !fenced[i] && kind[i] > 1 && sentAge[i] >= FAILING && canClaim(i) &&
#ifndef BROKEN_OLD_KEY
	     sentBefore[i] &&
#endif
	     (!taken[i] || kind[i] == 2 && !granted[i]) -> taken[i] = 1; granted[i] = 1; started[i] = 0; inMemory[i] = 1 }
	:: atomic { !born -> born = 1 }
	/* the stamp */
	:: atomic { ready[i] && !fenced[i] && idle(i) -> send(i, 4) }
#endif
	/* Journal.Claim of a retry that reached this home */
	:: atomic { ready[i] && !fenced[i] && !taken[i] && idle(i) && canClaim(i) -> taken[i] = 1; started[i] = 0; granted[i] = 0; send(i, 2) }
	:: atomic { sent[i] -> applyWrite(i) }
	:: atomic { sent[i] && !lost[i] -> lost[i] = 1 }
	:: atomic { lost[i] && kind[i] != 0 -> readBack(i) }
	/* Journal.Start under Tenure.MayGrant */
	:: atomic { granted[i] && !started[i] && mayGrant(i) && permit[i] == 0 -> started[i] = 1; permit[i] = S }
	/* The entry instance starts the request within the window. */
	:: atomic { permit[i] > 0 && started[i] && !shared[i] -> shared[i] = 1; permit[i] = 0; runs++; assert(runs <= 1) }
#ifndef MEMORY
	/* Journal.MarkNotRun, when the permit can no longer be started */
#ifdef BROKEN_FREE
	:: atomic { started[i] && !shared[i] && ready[i] && !fenced[i] && idle(i) && taken[i] -> send(i, 3) }
#else
	:: atomic { started[i] && !shared[i] && permit[i] == 0 && ready[i] && !fenced[i] && idle(i) && taken[i] -> send(i, 3) }
#endif
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
#ifdef MEMORY
			INC(sentAge[i]);
#endif
			for (k : 0 .. N - 1) { DEC(cons[i * N + k]) }
		}
		for (i : 0 .. N - 1) { sharing[i] = (sharing[i] && agreed(i)) }
#ifdef MEMORY
		INC(stampAge);
#endif
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
#include "config.pml"
#endif
