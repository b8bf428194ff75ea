/* Leases, terms, fencing and takeover for one shard and one forwarder. docs/takeover.md maps the steps to functions.
   Time is modelled only by what the margins guarantee: a voter's promise outlasts the lease that it supports. A paused
   controller takes no step while the others do; commands that it wrote before may arrive at any later time.

   Seeded faults, and the property that the checker must then find violated:
     -DNO_FENCE    the forwarder accepts commands of any term              -> an older term is obeyed after a newer one
     -DNO_MARGIN   a promise may expire while the lease is still valid     -> two leaders at once
     -DTWO_VOTES   a voter votes twice in one term                         -> two leaders with one term
     -DNO_RESUME   a new leader doesn't read the forwarder's state         -> a partial change is taken for complete
   Sizes: -DN (controllers), -DTERMS (the highest term). */
#ifndef N
#define N 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define NONE 255

byte seen[N];                 /* Leases::highest_terms_ */
byte word_to[N], word_term[N];/* Leases::promises_ */
bool silent[N];               /* Leases::no_votes_before_, after a restart without stored state */
bool leads[N];                /* Leases::held_term() by its own clock */
byte term[N];
byte votes[N], asked[N];      /* Leases::vote_rounds_: votes granted so far, and their term */
bool voted[N * N];
byte leading;                 /* number of current leaders */
byte owner[TERMS + 1];        /* winner of each term */

byte fence;                   /* highest term that the forwarder has seen */
byte last;                    /* term of the last accepted command */
byte holder_term, part;       /* partial change held by the forwarder: its term, and 0: none or complete, 1: half applied */
bool learned[N];              /* Driver::Connection: has read the forwarder's state in its current term */
chan wire[N] = [1] of { byte, byte };  /* term, part; commands written and not yet read */

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
  /* Leases::start_vote_round: starts a new term with a vote for itself. */
  :: atomic { (!leads[c] && asked[c] == 0 && !silent[c] && seen[c] < TERMS && (word_to[c] == NONE || word_to[c] == c)) ->
       asked[c] = seen[c] + 1; give_word(c, c, asked[c]) }
  /* A vote request reaches a voter and the vote returns; a lost message is a step that is never taken. */
  :: atomic { asked[c] != 0 ->
       if :: v = 0 :: v = 1 :: v = N - 1 fi;
       if :: (v != c && !voted[c * N + v]) -> give_word(v, c, asked[c]) :: else -> skip fi; v = 0 }
  /* It abandons its candidacy in this term. */
  :: atomic { asked[c] != 0 -> forget_asking(c) }
  /* Leases::acquire */
  :: atomic { (asked[c] != 0 && votes[c] * 2 > N && !leads[c]) ->
       leads[c] = true; leading++; term[c] = asked[c]; learned[c] = false;
       assert(owner[term[c]] == NONE || owner[term[c]] == c);   /* at most one winner a term */
       owner[term[c]] = c;
       assert(leading == 1);                                     /* at most one leader at a time */
       forget_asking(c) }
  /* The lease expires by its own clock, or is handed over. */
  :: atomic { leads[c] -> leads[c] = false; leading--; term[c] = 0; learned[c] = false }
  /* Driver::Connection::on_servers_state: reads the forwarder's state in its term, which raises the fence. */
  :: atomic { (leads[c] && !learned[c]) ->
#ifndef NO_RESUME
       if :: term[c] > fence -> fence = term[c] :: else -> skip fi;
       /* it plans again from the state read, so completing a partial change is up to it */
       if :: part == 1 -> holder_term = term[c] :: else -> skip fi;
#endif
       learned[c] = true }
  /* Driver::Connection::advance: writes the two halves of a change while it leads. */
  :: atomic { (leads[c] && learned[c] && nfull(wire[c])) ->
       if :: wire[c]!term[c], 1 :: wire[c]!term[c], 2 fi }
  /* It restarts without stored state and doesn't vote until all earlier promises have expired. Commands that it wrote may
     still arrive. */
  :: atomic { !silent[c] ->
       if :: leads[c] -> leads[c] = false; leading--; term[c] = 0; learned[c] = false :: else -> skip fi;
       forget_asking(c); silent[c] = true }
  od
}

/* A voter's promise expires; the margins rule out expiry before the lease that it supports. */
proctype Clock() {
  byte v;
  do
  :: atomic {
       if :: v = 0 :: v = 1 :: v = N - 1 fi;
       if
       :: (word_to[v] != NONE
#ifndef NO_MARGIN
           && !(leads[word_to[v]] && term[word_to[v]] == word_term[v])
           && !(asked[word_to[v]] == word_term[v])  /* nor while the candidacy that it was given for can still succeed */
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
  byte c, t, p;  /* reset to 0 after each step, or the checker would distinguish identical states */
  do
  :: atomic {
       if :: wire[0]?t, p -> c = 0 :: wire[1]?t, p -> c = 1 :: wire[N - 1]?t, p -> c = N - 1 fi;
       if
#ifndef NO_FENCE
       :: t < fence -> skip              /* rejected: a higher term was seen */
#endif
       :: else ->
            if :: t > fence -> fence = t :: else -> skip fi;
            assert(t >= last);           /* terms of accepted commands never decrease */
            last = t;
            if
            :: p == 1 -> part = 1; holder_term = t
            :: p == 2 ->
                 /* complete: the first half is of its own term, or was read and adopted by it */
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
