/* An instance lets the hub place its requests: messages that are late or lost, a hub that forgets, callers that leave.

   The hub's account must be what runs, but for news on its way, and no request is sent by two decisions. One engine has one
   slot. Sets of requests are bit masks. */

#define IDS 3
#define bit(i) (1 << (i))
#define MOST 7 /* messages */

/* The instance. */
byte asked, running, done;
byte sentTwice;
byte startedNews, endedNews, withdrawnNews, askNews;
bool connected, awaiting;
byte sequence;

/* The hub. */
bool known;
byte seen, granted, waiting, decided;

typedef message { byte sequence; bool fresh; byte started; byte ended; byte withdrawn; byte asks };
chan wire = [2] of { message };
chan reply = [0] of { byte, bool, byte }; /* sequence, known, decisions */

inline start(i) {
	if
	:: (running | done) & bit(i) -> sentTwice = 1
	:: else -> running = running | bit(i)
	fi;
	assert(!sentTwice)
}

/* The hub does not answer, or does not know the instance: what waits there is placed here. */
inline drop() {
	connected = false;
	startedNews = 0; endedNews = 0; withdrawnNews = 0; askNews = 0;
	running = running | asked;
	asked = 0
}

/* What the hub holds of the instance is what runs, but for what it has not been told or has not told. */
#define exact ((granted & ~decided) == ((running & ~startedNews) | endedNews))

active proctype instance() {
	message m;
	byte i, d;
	bool k;
	do
	:: atomic { !awaiting && sequence < MOST ->
		select(i : 0 .. IDS - 1);
		if
		:: !((asked | running | done) & bit(i)) -> asked = asked | bit(i); askNews = askNews | bit(i)
		:: !((asked | running | done) & bit(i)) -> start(i); startedNews = startedNews | bit(i)
		:: (running & bit(i)) ->
			running = running & ~bit(i); done = done | bit(i);
			if
			:: startedNews & bit(i) -> startedNews = startedNews & ~bit(i)
			:: else -> endedNews = endedNews | bit(i)
			fi
		:: (asked & bit(i)) ->
			asked = asked & ~bit(i); done = done | bit(i);
			if
			:: askNews & bit(i) -> askNews = askNews & ~bit(i)
			:: else -> withdrawnNews = withdrawnNews | bit(i)
			fi
		:: else
		fi;
		i = 0 }
	:: atomic { !awaiting && sequence < MOST && nfull(wire) ->
		sequence++;
		m.sequence = sequence; m.asks = askNews;
		m.fresh = !connected;
		if
		:: connected -> m.started = startedNews; m.ended = endedNews; m.withdrawn = withdrawnNews
		:: else -> m.started = running; m.ended = 0; m.withdrawn = 0
		fi;
		startedNews = 0; endedNews = 0; withdrawnNews = 0; askNews = 0;
		wire ! m;
		awaiting = true;
		m.sequence = 0; m.fresh = 0; m.started = 0; m.ended = 0; m.withdrawn = 0; m.asks = 0 }
#ifdef BROKEN_LATE
	:: atomic { reply ? eval(sequence), k, d ->
#else
	:: atomic { reply ? eval((awaiting -> sequence : 255)), k, d ->
#endif
		awaiting = false;
		if
		:: !k -> drop()
		:: else ->
			connected = true;
			i = 0;
			do
			:: i < IDS ->
				if
				:: (d & bit(i)) && (asked & bit(i)) -> asked = asked & ~bit(i); start(i)
				:: (d & bit(i)) && !(asked & bit(i)) ->
#ifdef BROKEN_LATE
					start(i)
#else
					endedNews = endedNews | bit(i)
#endif
				:: else
				fi;
				i++
			:: else -> break
			od;
			assert(!known || exact)
		fi;
		i = 0; d = 0; k = 0 }
	:: atomic { awaiting -> /* The answer takes too long. */
		awaiting = false;
#ifdef BROKEN_NO_FRESH
		running = running | asked; asked = 0
#else
		drop()
#endif
		}
	:: sequence == MOST && !awaiting -> break
	od
}

inline grant() {
	i = 0;
	do
	:: i < IDS ->
		if
		:: (waiting & bit(i)) && granted == 0 ->
			waiting = waiting & ~bit(i); granted = granted | bit(i); decided = decided | bit(i)
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

active proctype place() {
	message m;
	byte i, d;
	bool ok;
	do
	:: atomic { wire ? m ->
		ok = true;
		if
#ifndef BROKEN_ORDER
		:: m.sequence <= seen -> ok = false
#endif
		:: m.sequence > seen && m.fresh -> seen = m.sequence; known = true;
#ifndef BROKEN_KEEP
			granted = 0;
#endif
			waiting = 0; decided = 0
#ifdef BROKEN_ORDER
		:: m.sequence <= seen && m.fresh -> known = true; granted = 0; waiting = 0; decided = 0
		:: m.sequence <= seen && !m.fresh -> ok = known
#endif
		:: m.sequence > seen && !m.fresh ->
			if
			:: known -> seen = m.sequence
			:: else -> ok = false
			fi
		fi;
		if
		:: ok ->
			granted = (granted | m.started) & ~m.ended;
			decided = decided & ~m.ended;
			waiting = (waiting | m.asks) & ~m.withdrawn;
			grant();
			d = decided; decided = 0
		:: else -> d = 0
		fi;
		if
		:: reply ! m.sequence, ok, d
		:: true /* The answer is lost or late. */
		fi;
		ok = 0; d = 0; m.sequence = 0; m.fresh = 0; m.started = 0; m.ended = 0; m.withdrawn = 0; m.asks = 0 }
	:: atomic { len(wire) == 2 -> wire ? m; wire ! m; m.sequence = 0; m.fresh = 0; m.started = 0; m.ended = 0; m.withdrawn = 0; m.asks = 0 }
	:: atomic { known -> known = false; granted = 0; waiting = 0; decided = 0 } /* It forgets, or another one took over. */
	:: timeout -> break
	od
}
