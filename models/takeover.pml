/* Leases, terms, fencing and takeover for one shard and one forwarder. docs/takeover.md maps the steps to functions.
   Time stands here as what the margins guarantee: a voter's word outlasts the lease that it is for. A pause is a
   controller that takes no step while the rest do; what it had written before may arrive at any later time.

   Faults, one for each property that the checker must then find broken:
     -DNO_FENCE    the forwarder takes orders under any term          -> terms went back
     -DNO_MARGIN   a voter's word may end while the lease still runs  -> two lead at once
     -DTWO_VOTES   a voter gives its word twice under one term        -> two with one term
     -DNO_RESUME   a new leader goes on without reading what is held  -> a half change is taken for whole
   Sizes: -DN (controllers), -DTERMS (the highest term). */
#ifndef N
#define N 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define NONE 255

byte seen[N];                 /* Leases::highest_ */
byte word_to[N], word_term[N];/* Leases::promises_ */
bool silent[N];               /* Leases::silent_until_, after a restart without memory */
bool leads[N];                /* Leases::leads() by its own clock */
byte term[N];
byte votes[N], asked[N];      /* Leases::asking_: granted so far, and under which term */
bool voted[N * N];
byte leading;                 /* how many lead at once */
byte owner[TERMS + 1];        /* who won a term */

byte fence;                   /* the forwarder's highest term */
byte last;                    /* the term that it obeyed last */
byte holder_term, part;       /* the half change that it holds: whose, and how far: 0 none or whole, 1 half */
bool learned[N];              /* Driver::Stream: has read what is held, under its present term */
chan wire[N] = [1] of { byte, byte };  /* term, part; what was written and not yet read */

inline give_word(voter, cand, under) {
  if
  :: (!silent[voter] && ((word_to[voter] == NONE && under > seen[voter]) || (word_to[voter] == cand && under >= word_term[voter])
#ifdef TWO_VOTES
      || true
#endif
     )) -> word_to[voter] = cand; word_term[voter] = under; votes[cand]++; voted[cand * N + voter] = true
  :: else -> skip
  fi;
  if :: under > seen[voter] -> seen[voter] = under :: else -> skip fi
}

inline forget_asking(who) {
  votes[who] = 0; asked[who] = 0;
  i = 0; do :: i < N -> voted[who * N + i] = false; i++ :: else -> break od;
  i = 0
}

proctype Controller(byte c) {
  byte v, i;
  do
  /* Leases::ask: a new term, its own word first. */
  :: atomic { (!leads[c] && asked[c] == 0 && !silent[c] && seen[c] < TERMS && (word_to[c] == NONE || word_to[c] == c)) ->
       asked[c] = seen[c] + 1; give_word(c, c, asked[c]) }
  /* A question reaches a voter, and the vote comes back; a lost one is a step that is never taken. */
  :: atomic { asked[c] != 0 ->
       if :: v = 0 :: v = 1 :: v = N - 1 fi;
       if :: (v != c && !voted[c * N + v]) -> give_word(v, c, asked[c]) :: else -> skip fi; v = 0 }
  /* It gives up on this term. */
  :: atomic { asked[c] != 0 -> forget_asking(c) }
  /* Leases::won */
  :: atomic { (asked[c] != 0 && votes[c] * 2 > N && !leads[c]) ->
       leads[c] = true; leading++; term[c] = asked[c]; learned[c] = false;
       assert(owner[term[c]] == NONE || owner[term[c]] == c);   /* no term is won twice */
       owner[term[c]] = c;
       assert(leading == 1);                                     /* never two at once */
       forget_asking(c) }
  /* The lease is over by its clock, or handed over. */
  :: atomic { leads[c] -> leads[c] = false; leading--; term[c] = 0; learned[c] = false }
  /* Driver::Stream::state: it reads what the forwarder holds under its term; the fence rises with it. */
  :: atomic { (leads[c] && !learned[c]) ->
#ifndef NO_RESUME
       if :: term[c] > fence -> fence = term[c] :: else -> skip fi;
       /* from what is held the way is planned anew: a half change is its own to finish */
       if :: part == 1 -> holder_term = term[c] :: else -> skip fi;
#endif
       learned[c] = true }
  /* Driver::Stream::advance: the two halves of a change, written while it leads. */
  :: atomic { (leads[c] && learned[c] && nfull(wire[c])) ->
       if :: wire[c]!term[c], 1 :: wire[c]!term[c], 2 fi }
  /* It restarts without memory: gives no word until whatever it promised is over. What it wrote may still arrive. */
  :: atomic { !silent[c] ->
       if :: leads[c] -> leads[c] = false; leading--; term[c] = 0; learned[c] = false :: else -> skip fi;
       forget_asking(c); silent[c] = true }
  od
}

/* A voter's word ends; by the margins not before the lease that it is for. */
proctype Clock() {
  byte v;
  do
  :: atomic {
       if :: v = 0 :: v = 1 :: v = N - 1 fi;
       if
       :: (word_to[v] != NONE
#ifndef NO_MARGIN
           && !(leads[word_to[v]] && term[word_to[v]] == word_term[v])
           && !(asked[word_to[v]] == word_term[v])  /* nor before what it was asked for can be won */
#endif
          ) -> word_to[v] = NONE; word_term[v] = 0
       :: else -> skip
       fi; v = 0 }
  :: atomic {
       if :: v = 0 :: v = 1 :: v = N - 1 fi;
       if :: (silent[v] && (word_to[v] == NONE || word_to[v] == v)) -> silent[v] = false :: else -> skip fi; v = 0 }
  od
}

proctype Forwarder() {
  byte c, t, p;  /* put back to 0 after each step, or the checker tells states apart that are one */
  do
  :: atomic {
       if :: wire[0]?t, p -> c = 0 :: wire[1]?t, p -> c = 1 :: wire[N - 1]?t, p -> c = N - 1 fi;
       if
#ifndef NO_FENCE
       :: t < fence -> skip              /* refused: a higher term was seen */
#endif
       :: else ->
            if :: t > fence -> fence = t :: else -> skip fi;
            assert(t >= last);           /* no order of a lower term is obeyed after a higher one's */
            last = t;
            if
            :: p == 1 -> part = 1; holder_term = t
            :: p == 2 ->
                 /* whole: the half that it closes is its own, or one that it read and took on */
                 assert(part == 0 || holder_term == t);
                 part = 0; holder_term = 0
            fi
       fi; c = 0; t = 0; p = 0 }
  od
}

init {
  byte i;
  atomic {
    i = 0; do :: i < N -> word_to[i] = NONE; i++ :: else -> break od;
    i = 0; do :: i <= TERMS -> owner[i] = NONE; i++ :: else -> break od;
    i = 0; do :: i < N -> run Controller(i); i++ :: else -> break od;
    run Clock(); run Forwarder()
  }
}
