/*
 * Replicas of a store that is restored from an older copy (package store). One key of an operator holds a version that only
 * rises, one key of the instances a record of their own; other writes only raise the revision. Calls and relayed changes may
 * be late or lost. -DBROKEN_<name> breaks one rule; the search must then find an error.
 */
#define N 2
#define REVISIONS 3
#define VERSIONS 2
#define STARTS 1
#define ERAS 2

/* the store */
byte era = 1, rev = 1;
byte version = 1, versionRev = 1; /* the operator's key */
bit own; byte ownRev;             /* the instances' key */
byte acked = 1;                   /* latest version that was acknowledged */
/* the copy */
byte copyRev = 1, copyVersion = 1, copyVersionRev = 1; bit copyOwn; byte copyOwnRev;

/* replicas */
byte e[N], r[N];                  /* position */
byte v[N], vRev[N];               /* version in force, and the revision of the key */
bit saved[N];                     /* the record is known to be in the store */
byte known[N];                    /* revision of the record that a write expects */
byte after[N], afterEra[N];       /* position from which a watch began */
/* one answer to each instance that is on its way: 0 none, 1 list, 2 watch, 3 write */
byte kind[N], aEra[N], aRev[N], aVersion[N], aVersionRev[N]; bit aOwn[N], aChanged[N], aOwnChanged[N]; byte aOwnRev[N];
byte expected[N], expectedEra[N];
bit writing[N];                   /* a write is on its way to the store */

byte starts;

#define complete(i) (e[i] == era && r[i] >= rev && version == acked)

/* What holds of a replica that is up to date */
inline check(i) {
	assert(!(complete(i) && v[i] != version));
	assert(!(e[i] == era && r[i] >= rev && saved[i] && !own))
}

/* No answer is on its way. Cleared fields keep equal states equal. */
inline clear(i) {
	kind[i] = 0; aEra[i] = 0; aRev[i] = 0; aVersion[i] = 0; aVersionRev[i] = 0; aOwn[i] = 0; aOwnRev[i] = 0;
	aChanged[i] = 0; aOwnChanged[i] = 0; after[i] = 0; afterEra[i] = 0;
	if
	:: !writing[i] -> expected[i] = 0; expectedEra[i] = 0
	:: else
	fi
}

/* Replica.Reset and Replica.restore */
inline reset(i, le, lr, lv, lvr, lo, lor) {
	old = v[i];
	assert(le >= e[i]); /* the era of a replica never falls */
	if
#ifdef BROKEN_ERA
	:: e[i] > 0 && lr < r[i] -> skip /* revisions of two eras are compared */
	:: else ->
#else
	:: true ->
#endif
	   e[i] = le; r[i] = lr;
#ifdef BROKEN_KEEP
	   v[i] = lv;
#else
	   v[i] = (lv > v[i] -> lv : v[i]);
#endif
	   vRev[i] = lvr; saved[i] = lo; known[i] = lor
	fi;
	assert(v[i] >= old);
	old = 0; check(i)
}

proctype instance(byte i) {
	byte old, j;
	do
	/* List and Watch: the store answers now, the answer arrives later */
	:: atomic { kind[i] == 0 -> kind[i] = 1; aEra[i] = era; aRev[i] = rev; aVersion[i] = version; aVersionRev[i] = versionRev;
	     aOwn[i] = own; aOwnRev[i] = ownRev }
	:: atomic { kind[i] == 0 && e[i] > 0 -> after[i] = r[i]; afterEra[i] = e[i]; kind[i] = 4 }
	:: atomic { kind[i] == 4 ->
	   if
	   :: after[i] > rev -> clear(i) /* 410: the next call is a list */
	   :: else -> kind[i] = 2; aEra[i] = era; aRev[i] = rev; aChanged[i] = (versionRev > after[i]); aVersion[i] = version;
	      aVersionRev[i] = versionRev; aOwnChanged[i] = (ownRev > after[i]); aOwn[i] = own; aOwnRev[i] = ownRev
	   fi }
	:: atomic { kind[i] == 1 ->
	   if
#ifndef BROKEN_LATE
	   :: aEra[i] < e[i] -> skip /* errOutdated */
#endif
	   :: else -> reset(i, aEra[i], aRev[i], aVersion[i], aVersionRev[i], aOwn[i], aOwnRev[i])
	   fi;
	   assert(aEra[i] != era || aRev[i] != rev || version != acked || v[i] == version);
	   clear(i) }
	:: atomic { kind[i] == 2 ->
	   if
#ifndef BROKEN_WATCH
	   :: aEra[i] != afterEra[i] || aEra[i] != e[i] -> skip /* ErrRestored, errOutdated */
#endif
	   :: else ->
	      old = v[i];
	      if
	      :: aChanged[i] && aVersionRev[i] > vRev[i] -> v[i] = (aVersion[i] > v[i] -> aVersion[i] : v[i]); vRev[i] = aVersionRev[i]
	      :: else
	      fi;
	      if
	      :: aOwnChanged[i] && aOwnRev[i] > known[i] -> saved[i] = aOwn[i]; known[i] = aOwnRev[i]
	      :: else
	      fi;
	      r[i] = (aRev[i] > r[i] -> aRev[i] : r[i]);
#ifdef BROKEN_WATCH
	      e[i] = aEra[i];
#endif
	      assert(v[i] >= old); old = 0; check(i)
	   fi;
	   clear(i) }
	:: atomic { kind[i] == 1 || kind[i] == 2 -> clear(i) } /* lost */
	/* ApplyRelayed from the other instance: its changes within an era, or all items */
	:: atomic { e[1 - i] > 0 ->
	   j = 1 - i;
	   if
#ifdef BROKEN_RELAY
	   :: e[i] > 0 && r[j] > r[i] ->
#else
	   :: e[i] == e[j] && r[j] > r[i] ->
#endif
	      old = v[i];
	      if
	      :: vRev[j] > r[i] && vRev[j] > vRev[i] -> v[i] = (v[j] > v[i] -> v[j] : v[i]); vRev[i] = vRev[j]
	      :: else
	      fi;
	      if
	      :: known[j] > r[i] && known[j] > known[i] -> saved[i] = saved[j]; known[i] = known[j]
	      :: else
	      fi;
	      e[i] = e[j]; r[i] = r[j];
	      assert(v[i] >= old); old = 0; check(i)
	   :: e[i] < e[j] -> reset(i, e[j], r[j], v[j], vRev[j], saved[j], known[j])
	   :: else
	   fi;
	   j = 0 }
	/* Put of the record, on the condition of its known revision */
	:: atomic { e[i] > 0 && !saved[i] && !writing[i] && kind[i] != 3 -> writing[i] = 1; expected[i] = known[i]; expectedEra[i] = e[i] }
	:: atomic { writing[i] && kind[i] == 0 -> writing[i] = 0;
	   if
	   :: ownRev == expected[i] && rev < REVISIONS -> rev++; own = 1; ownRev = rev; kind[i] = 3; aEra[i] = era; aOwnRev[i] = rev
	   :: else -> expected[i] = 0; expectedEra[i] = 0
	   fi }
	:: atomic { kind[i] == 3 ->
	   if
#ifdef BROKEN_ACK
	   :: aOwnRev[i] > known[i] -> saved[i] = 1; known[i] = aOwnRev[i]; check(i)
#else
	   :: aEra[i] == expectedEra[i] && aEra[i] == e[i] && aOwnRev[i] > known[i] -> saved[i] = 1; known[i] = aOwnRev[i]; check(i)
#endif
	   :: else
	   fi;
	   clear(i) }
	:: atomic { kind[i] == 3 -> clear(i) } /* lost */
	/* an instance starts again */
	:: atomic { e[i] > 0 && starts < STARTS -> starts++; e[i] = 0; r[i] = 0; v[i] = 0; vRev[i] = 0; saved[i] = 0; known[i] = 0; writing[i] = 0; clear(i) }
	od
}

proctype store() {
	do
	/* the operator writes a new version, or the one that was lost */
	:: atomic { rev < REVISIONS && version == acked && version < VERSIONS -> rev++; version++; versionRev = rev; acked = version }
	:: atomic { rev < REVISIONS && version < acked -> rev++; version = acked; versionRev = rev }
	:: atomic { rev < REVISIONS -> rev++ }
	:: atomic { era == 1 && rev > copyRev -> copyRev = rev; copyVersion = version; copyVersionRev = versionRev; copyOwn = own; copyOwnRev = ownRev }
	:: atomic { era < ERAS -> era++; rev = copyRev; version = copyVersion; versionRev = copyVersionRev; own = copyOwn; ownRev = copyOwnRev }
	od
}

init { atomic { run store(); run instance(0); run instance(1) } }
