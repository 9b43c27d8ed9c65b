/* The configuration in force, the rollback mark and the steps of a rollout. */

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
