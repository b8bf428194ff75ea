/* Liveness: a leader is elected again while a majority is alive. One shard, N controllers; terms are omitted, since a
   candidate's term is always above all terms seen. Faults are bounded: one member dies, some votes are lost, and the
   members' view of the preferred leader is wrong for a while. After that, under weak fairness, some member becomes
   leader and remains it.

   A fault that the checker must find:
     -DWORD_FOR_EVER  a voter's promise to a dead member never expires */
#ifndef N
#define N 3
#endif
#define NONE 255

byte word_to[N];   /* Leases::promises_ */
bool up[N], leads[N];
byte preferred;    /* assignment(), by Membership's view */
byte lost;         /* number of votes lost so far */

proctype Member(byte c) {
  byte v, votes;
  do
  :: atomic { (up[c] && preferred == c && !leads[c]) -> v = 0; votes = 0 };
     do
     :: v < N ->
        atomic {
          if
          :: (up[v] && (word_to[v] == NONE || word_to[v] == c)) ->
               word_to[v] = c;
               if :: votes++ :: lost < 1 -> lost++ fi       /* the vote's response may be lost */
          :: else -> skip
          fi; v++ }
     :: else -> break
     od;
     atomic { if :: (up[c] && votes * 2 > N) -> leads[c] = true :: else -> skip fi; votes = 0; v = 0 }
  od
}

/* A voter's promise expires once its member no longer leads; the lease margins rule out an earlier expiry. */
proctype Clock(byte v) {
  do
  :: atomic { (word_to[v] != NONE && !leads[word_to[v]]
#ifdef WORD_FOR_EVER
       && false
#endif
     ) -> word_to[v] = NONE }
  od
}

proctype Faults() {
  byte wrong, dead = NONE, i;
  do
  :: (wrong < 1) -> wrong++; if :: preferred = 0 :: preferred = 1 :: preferred = N - 1 fi
  :: (dead == NONE) -> atomic {
       if :: dead = 0 :: dead = 1 :: dead = N - 1 fi;
       up[dead] = false; leads[dead] = false }
  /* All leases expire without renewal. */
  :: (lost < 1) -> atomic { lost++; i = 0; do :: i < N -> leads[i] = false; i++ :: else -> break od; i = 0 }
  :: break
  od;
  atomic { i = 0; do :: (i < N && !up[i]) -> i++ :: else -> break od; preferred = i }
}

init {
  byte i;
  atomic {
    i = 0; do :: i < N -> word_to[i] = NONE; up[i] = true; i++ :: else -> break od;
    i = 0; do :: i < N -> run Member(i); run Clock(i); i++ :: else -> break od;
    run Faults()
  }
}

ltl again { <>[] (leads[0] || leads[1] || leads[N - 1]) }
