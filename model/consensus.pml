/*
 * The core protocol of the control group: election, replication, commit, lost
 * disks, membership changes, and the minimum version of a restarting proxy.
 * docs/design/model.md maps each step to the code and states the abstractions.
 *
 * A storage is one data folder with its identity. Storages 0 to 2 are the
 * first voters; each later one is empty when it starts and replaces a lost disk
 * or a member that operators replace. Messages may be lost, duplicated and
 * delayed: a step that sends and receives represents any delivery.
 *
 * Bounds, set by the runner:
 *   TERMS     highest term
 *   LENGTH    maximum number of entries in a log
 *   JOINS     storages that may join, 0 to 2
 *   SYNC      appended entries may be unsynced, and a crash loses these
 *   LOSSES    disks that may be lost, each one after the repair of the last
 *   REPLACE   a join replaces a running member; else it follows a lost disk
 *   CHANGING  storage 3 is a voter from the start: a replacement in progress
 *   RESTARTS  starts of the proxy; 0 omits the proxy
 *   FIRST     only storage 0 starts an election while its term is 0
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 2
#endif
#ifndef JOINS
#define JOINS 0
#endif
#ifndef LOSSES
#define LOSSES 0
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

#define FIRST_VOTERS 3
#define STORAGES (FIRST_VOTERS + JOINS)
#define NOBODY 255

/* Roles of a storage's process. */
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* States of a storage, the values of `life`. */
#define UNUSED 0
#define RUNNING 1
#define GONE 2

/*
 * An entry consists of its term and, if it changes the membership, the voters,
 * one bit per storage. Zero means no entry.
 */
#define ENTRY(t, voters) ((t) * 32 + (voters))
#define TERM_OF(entry) ((entry) / 32)
#define VOTERS_OF(entry) ((entry) % 32)
#ifdef CHANGING
#define FOUNDERS 15
#else
#define FOUNDERS 7
#endif

/* Stored state of a storage, and memory of its running process. */
byte life[STORAGES];
byte term[STORAGES];
byte votedFor[STORAGES];            /* candidate + 1 in this term; 0 for none */
byte length[STORAGES];
byte entries[STORAGES * LENGTH];
byte voters[STORAGES];              /* newest membership in the log */
byte role[STORAGES];
byte votes[STORAGES];               /* a candidate's votes, one bit each */
byte commit[STORAGES];              /* a leader's commit index */
byte matched[STORAGES * STORAGES];  /* a leader's view of synced prefixes */
#ifdef SYNC
byte synced[STORAGES];
#define SYNCED(i) synced[i]
#else
#define SYNCED(i) length[i]
#endif

/* Recorded by an outside observer, for the invariants. */
byte leaderOf[TERMS + 1];           /* leader + 1 of each term */
byte accepted[LENGTH];              /* entries that were answered as accepted */
byte acceptedIn[LENGTH];            /* the term whose leader accepted each */
byte acceptedLength;
byte lost;                          /* disks lost so far */
byte joined;                        /* storages that have begun to join */
byte repairing = NOBODY;            /* the join that is not yet complete */

#if RESTARTS > 0
/* The proxy, and the leader's quorum round that proves freshness to it. */
byte restarts;
bool asking;                        /* the proxy waits for its minimum */
byte owed;                          /* accepted length when the proxy started */
byte roundLeader = NOBODY;
byte roundTerm;
byte roundIndex;
byte roundAnswers;
#endif

hidden byte n, a;

#define AT(i, k) entries[(i) * LENGTH + (k)]
#define MATCHED(i, j) matched[(i) * STORAGES + (j)]
#define LAST_TERM(i) (length[i] == 0 -> 0 : TERM_OF(AT(i, length[i] - 1)))
#define UP(i) (life[i] == RUNNING)

#define VOTERS(i) voters[i]
#define HAS_BIT(mask, x) (((mask) >> (x)) & 1)
#define COUNTS(i, x) HAS_BIT(VOTERS(i), x)
#define SIZE(mask) (HAS_BIT(mask, 0) + HAS_BIT(mask, 1) + HAS_BIT(mask, 2) + \
  HAS_BIT(mask, 3) + HAS_BIT(mask, 4))
#define MAJORITY(i) (SIZE(VOTERS(i)) / 2 + 1)
#define VOTED(i) SIZE(votes[i] & VOTERS(i))
#define ANSWERED(i) SIZE(roundAnswers & VOTERS(i))

#define COMPLETE(i, j) (LAST_TERM(i) > LAST_TERM(j) || \
  (LAST_TERM(i) == LAST_TERM(j) && length[i] >= length[j]))

inline stepDown(j) {
  role[j] = FOLLOWER;
  votes[j] = 0;
  commit[j] = 0;
  n = 0;
  do
  :: n < STORAGES -> MATCHED(j, n) = 0; n++
  :: else -> break
  od
}

/* The newest membership in the log is in use, whether committed or not. */
inline readMembership(j) {
  voters[j] = FOUNDERS;
  n = 0;
  do
  :: n < LENGTH ->
    if
    :: VOTERS_OF(AT(j, n)) != 0 -> voters[j] = VOTERS_OF(AT(j, n))
    :: else
    fi;
    n++
  :: else -> break
  od
}

/* A higher term makes j a follower. */
inline enterTerm(j, t) {
  if
  :: term[j] < t -> term[j] = t; votedFor[j] = 0; stepDown(j)
  :: else
  fi
}

inline stand(i) {
  term[i]++;
  stepDown(i);
  votedFor[i] = i + 1;
  role[i] = CANDIDATE;
  votes[i] = 1 << i
}

inline grant(i, j) {
  enterTerm(j, term[i]);
  votedFor[j] = i + 1;
  votes[i] = votes[i] | (1 << j)
}

/*
 * Invariants: a term has one leader, and its log contains all entries that were
 * accepted in earlier terms. (A delayed leader of an old term may lack entries
 * that were accepted in a later term; it must not commit anything then, which
 * `accept` checks.)
 */
inline lead(i) {
  role[i] = LEADER;
  votes[i] = 0;
  assert(leaderOf[term[i]] == 0 || leaderOf[term[i]] == i + 1);
  leaderOf[term[i]] = i + 1;
  n = 0;
  do
  :: n < acceptedLength && acceptedIn[n] < term[i] ->
    assert(AT(i, n) == accepted[n]);
    n++
  :: else -> break
  od;
  commit[i] = n
}

inline extend(i, members) {
  AT(i, length[i]) = ENTRY(term[i], members);
  length[i]++;
  readMembership(i)
}

/* Sends the entry at k; the receiver checks the preceding entry. */
inline append(i, j, k) {
  enterTerm(j, term[i]);
  if
  :: role[j] == CANDIDATE -> stepDown(j)
  :: else
  fi;
  if
#ifdef MUTANT_CROSSED_APPEND
  /* A delayed append without new entries truncates the entries after it. */
  :: length[j] > k + 1 || AT(j, k) != AT(i, k) ->
#else
  :: AT(j, k) != AT(i, k) ->
#endif
    n = k;
    do
    :: n < LENGTH -> AT(j, n) = 0; n++
    :: else -> break
    od;
    AT(j, k) = AT(i, k);
    length[j] = k + 1;
    readMembership(j);
#ifdef SYNC
    if
    :: synced[j] > k -> synced[j] = k
    :: else
    fi
#endif
  :: else
  fi
}

/* Acknowledges a synced prefix; the leader records the longest one. */
inline acknowledge(i, j, k) {
#ifdef SYNC
#ifndef MUTANT_ACK_BEFORE_SYNC
  synced[j] = length[j];
#endif
#endif
  if
  :: MATCHED(i, j) < k + 1 -> MATCHED(i, j) = k + 1
  :: else
  fi
}

/* Invariant: an index is never accepted with two different entries. */
inline accept(i) {
  commit[i]++;
  a = commit[i] - 1;
  assert(accepted[a] == 0 || accepted[a] == AT(i, a));
  if
  :: acceptedLength < commit[i] ->
    accepted[a] = AT(i, a);
    acceptedIn[a] = term[i];
    acceptedLength = commit[i]
  :: else
  fi;
  /*
   * A repair is complete when the membership with the new storage is accepted.
   */
  if
  :: repairing != NOBODY && HAS_BIT(VOTERS_OF(AT(i, a)), repairing) ->
    repairing = NOBODY
  :: else
  fi;
#ifdef WITNESS_SECOND_LOSS
  /* Not an invariant: shows progress after the second loss. */
  assert(!(lost == 2 && term[i] == TERMS && commit[i] == LENGTH))
#endif
#ifdef WITNESS_REPLACED
  assert(!(JOINS > 0 && COUNTS(i, STORAGES - 1) && SIZE(VOTERS(i)) == 3))
#endif
#ifdef WITNESS_ACCEPTED
  assert(!(commit[i] == LENGTH && term[i] == TERMS))
#endif
}

inline lose(y) {
  life[y] = GONE;
  stepDown(y);
  term[y] = 0;
  votedFor[y] = 0;
  length[y] = 0;
#ifdef SYNC
  synced[y] = 0;
#endif
  a = 0;
  do
  :: a < LENGTH -> AT(y, a) = 0; a++
  :: else -> break
  od;
  voters[y] = FOUNDERS
}

/* The next unused storage starts empty. */
inline start() {
  a = FIRST_VOTERS + joined;
  joined++;
  life[a] = RUNNING;
  voters[a] = FOUNDERS;
  repairing = a
}

/* The disk of y is lost; its VM returns with an empty one, within the bound. */
inline loseDisk(y) {
  lose(y);
  lost++;
#ifdef MUTANT_NO_IDENTITY
  /* Only its name identifies it, so it is still a voter. */
  life[y] = RUNNING
#else
  if
  :: joined < JOINS -> start()
  :: else -> repairing = y
  fi
#endif
}

/* Whether the leader i may add or remove a voter now. */
#define ENTRY_IS_OWN(i) \
  (commit[i] > 0 && TERM_OF(AT(i, commit[i] - 1)) == term[i])
#ifdef MUTANT_CHANGE_BEFORE_OWN_COMMIT
#define OWN_COMMITTED(i) true
#else
#define OWN_COMMITTED(i) ENTRY_IS_OWN(i)
#endif
/* Whether all memberships in the log of i are committed. */
#define SETTLED_AT(i, k) (VOTERS_OF(AT(i, k)) == 0 || commit[i] > (k))
#ifdef MUTANT_TWO_CHANGES
#define SETTLED(i) true
#elif LENGTH == 1
#define SETTLED(i) SETTLED_AT(i, 0)
#elif LENGTH == 2
#define SETTLED(i) (SETTLED_AT(i, 0) && SETTLED_AT(i, 1))
#elif LENGTH == 3
#define SETTLED(i) (SETTLED_AT(i, 0) && SETTLED_AT(i, 1) && SETTLED_AT(i, 2))
#else
#define SETTLED(i) (SETTLED_AT(i, 0) && SETTLED_AT(i, 1) && \
  SETTLED_AT(i, 2) && SETTLED_AT(i, 3))
#endif
#define MAY_CHANGE(i) (role[i] == LEADER && length[i] < LENGTH && \
  OWN_COMMITTED(i) && SETTLED(i))

#ifdef MUTANT_VOTE_TWICE
#define MAY_VOTE(i, j) (term[j] <= term[i])
#else
#define MAY_VOTE(i, j) \
  (term[j] < term[i] || (term[j] == term[i] && votedFor[j] == 0))
#endif

#ifdef MUTANT_NO_LOG_CHECK
#define LOG_ALLOWS(i, j) true
#else
#define LOG_ALLOWS(i, j) COMPLETE(i, j)
#endif

#ifdef MUTANT_COMMIT_OLD_TERM
#define OWN_TERM(i, k) true
#else
/* The entry at k, or a later one as widely stored, is of the leader's term. */
#define OWN_TERM(i, k) (TERM_OF(AT(i, k)) == term[i])
#endif

/*
 * With FIRST, without loss of generality, storage 0 starts the first election.
 */
#ifdef FIRST
#define MAY_START_TERM(i) (term[i] > 0 || i == 0)
#else
#define MAY_START_TERM(i) true
#endif

/* Steps of one storage. */
/* A restarted or resigned leader is modeled as idle until it stands again. */
#define STAND(i) \
  :: atomic { UP(i) && COUNTS(i, i) && term[i] < TERMS && \
     MAY_START_TERM(i) -> \
     d_step { stand(i) } }
#define LEAD(i) \
  :: atomic { role[i] == CANDIDATE && VOTED(i) >= MAJORITY(i) -> \
     d_step { lead(i); skip } \
     /* It may know of all committed entries in its log, or of none. */ \
     if \
     :: commit[i] > 0 -> commit[i] = 0 \
     :: skip \
     fi }
#define PROPOSE(i) \
  :: atomic { role[i] == LEADER && length[i] < LENGTH -> \
     d_step { extend(i, 0); skip } }
/*
 * Older entries are committed only together with one of the leader's own term.
 */
#define COMMIT(i, k) \
  :: atomic { role[i] == LEADER && commit[i] < k && length[i] >= k && \
     OWN_TERM(i, (k) - 1) && HELD_BY(i, k) >= MAJORITY(i) -> \
     d_step { \
       do \
       :: commit[i] < k -> accept(i) \
       :: else -> break \
       od; \
       skip } }
#define HELD(i, x, k) (COUNTS(i, x) && \
  ((x) == (i) -> SYNCED(i) >= (k) : MATCHED(i, x) >= (k)))
#if JOINS == 0
#define HELD_BY(i, k) (HELD(i, 0, k) + HELD(i, 1, k) + HELD(i, 2, k))
#elif JOINS == 1
#define HELD_BY(i, k) \
  (HELD(i, 0, k) + HELD(i, 1, k) + HELD(i, 2, k) + HELD(i, 3, k))
#else
#define HELD_BY(i, k) (HELD(i, 0, k) + HELD(i, 1, k) + HELD(i, 2, k) + \
  HELD(i, 3, k) + HELD(i, 4, k))
#endif

#ifdef SYNC
#define SYNCED_STEPS(i) \
  :: atomic { UP(i) && synced[i] < length[i] -> synced[i] = length[i] } \
  :: atomic { UP(i) && (synced[i] < length[i] || role[i] != FOLLOWER) -> \
     d_step { \
       stepDown(i); \
       length[i] = synced[i]; \
       n = length[i]; \
       do \
       :: n < LENGTH -> AT(i, n) = 0; n++ \
       :: else -> break \
       od; \
       readMembership(i); \
       skip } }
#else
#define SYNCED_STEPS(i)
#endif

#if LOSSES > 0
/* A second disk may be lost as soon as the first is repaired. */
#define DEPART(y) \
  :: atomic { lost < LOSSES && repairing == NOBODY && UP(y) && \
     length[y] > 0 -> d_step { loseDisk(y); skip } }
#elif defined(REPLACE)
/* A new storage is on standby to replace a running member. */
#define DEPART(y) \
  :: atomic { joined < JOINS && (y) == 0 -> d_step { start() } }
#else
#define DEPART(y)
#endif

/* Steps between two storages. */
#define HEAR(i, j) \
  :: atomic { UP(i) && UP(j) && role[i] != FOLLOWER && term[j] < term[i] -> \
     d_step { enterTerm(j, term[i]); skip } }
#define GRANT(i, j) \
  :: atomic { role[i] == CANDIDATE && UP(j) && COUNTS(i, j) && \
     MAY_VOTE(i, j) && LOG_ALLOWS(i, j) && !((votes[i] >> j) & 1) -> \
     d_step { grant(i, j) } }
#define APPEND(i, j, k) \
  :: atomic { role[i] == LEADER && UP(j) && term[j] <= term[i] && \
     k < length[i] && length[j] >= k && \
     (k == 0 || AT(j, (k) - 1) == AT(i, (k) - 1)) && \
     APPEND_MATTERS(i, j, k) -> \
     d_step { append(i, j, k); skip } \
     MAYBE_ACKNOWLEDGE(i, j, k) }
#ifdef MUTANT_CROSSED_APPEND
#define APPEND_MATTERS(i, j, k) true
#else
/* Redelivery of entries that are already present has no effect. */
#define APPEND_MATTERS(i, j, k) \
  (AT(j, k) != AT(i, k) || MATCHED(i, j) <= k || term[j] < term[i])
#endif
/* The acknowledgement may be lost, or the process may end before the sync. */
#define MAYBE_ACKNOWLEDGE(i, j, k) \
  if \
  :: d_step { acknowledge(i, j, k); skip } \
  :: skip \
  fi
#if LENGTH == 1
#define APPENDS(i, j) APPEND(i, j, 0)
#define COMMITS(i) COMMIT(i, 1)
#elif LENGTH == 2
#define APPENDS(i, j) APPEND(i, j, 0) APPEND(i, j, 1)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2)
#elif LENGTH == 3
#define APPENDS(i, j) APPEND(i, j, 0) APPEND(i, j, 1) APPEND(i, j, 2)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2) COMMIT(i, 3)
#else
#define APPENDS(i, j) \
  APPEND(i, j, 0) APPEND(i, j, 1) APPEND(i, j, 2) APPEND(i, j, 3)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2) COMMIT(i, 3) COMMIT(i, 4)
#endif

/* A learner that has synced all committed entries becomes a voter. */
#define PROMOTE(i, x) \
  :: atomic { MAY_CHANGE(i) && UP(x) && !COUNTS(i, x) && \
     MATCHED(i, x) >= commit[i] -> \
     d_step { extend(i, VOTERS(i) | (1 << (x))); skip } }
/* A lost or replaced member is removed from the voters. */
#define REMOVE(i, y) \
  :: atomic { MAY_CHANGE(i) && COUNTS(i, y) && SIZE(VOTERS(i)) > 1 && \
     MAY_REMOVE(y) -> d_step { extend(i, VOTERS(i) & ~(1 << (y))); skip } }
#if defined(REPLACE) || defined(CHANGING)
#define MAY_REMOVE(y) true
#else
#define MAY_REMOVE(y) (life[y] == GONE)
#endif
#ifdef MUTANT_SWAP_IN_ONE_STEP
/* One entry replaces the old member by the new storage. */
#define SWAP(i, x, y) \
  :: atomic { MAY_CHANGE(i) && UP(x) && !COUNTS(i, x) && COUNTS(i, y) && \
     MAY_REMOVE(y) && MATCHED(i, x) >= commit[i] -> \
     d_step { extend(i, (VOTERS(i) | (1 << (x))) & ~(1 << (y))); skip } }
#define SWAPS(i, x) SWAP(i, x, 0) SWAP(i, x, 1) SWAP(i, x, 2)
#else
#define SWAPS(i, x)
#endif

#if RESTARTS > 0
/*
 * The proxy restarts without state; all versions that it served were accepted.
 */
#ifdef MUTANT_JOIN_RUNNING_ROUND
#define FORGET_ROUND skip
#else
/* An answer to an earlier nonce proves nothing to the restarted proxy. */
#define FORGET_ROUND \
  roundLeader = NOBODY; roundTerm = 0; roundIndex = 0; roundAnswers = 0
#endif
#define PROXY_STEPS \
  :: atomic { restarts < RESTARTS -> \
     d_step { \
       restarts++; asking = true; owed = acceptedLength; FORGET_ROUND } }
#ifdef MUTANT_FLOOR_BEFORE_OWN_COMMIT
#define MAY_ROUND(i) true
#else
#define MAY_ROUND(i) ENTRY_IS_OWN(i)
#endif
#define ROUND(i) \
  :: atomic { asking && role[i] == LEADER && roundLeader == NOBODY && \
     MAY_ROUND(i) -> \
     d_step { \
       roundLeader = i; \
       roundTerm = term[i]; \
       roundIndex = commit[i]; \
       roundAnswers = 1 << i } } \
  :: atomic { roundLeader == i -> \
     d_step { \
       roundLeader = NOBODY; roundTerm = 0; roundIndex = 0; \
       roundAnswers = 0 } }
#define ANSWER(i, j) \
  :: atomic { roundLeader == i && UP(j) && term[j] <= roundTerm && \
     !((roundAnswers >> j) & 1) -> \
     d_step { \
       enterTerm(j, roundTerm); \
       roundAnswers = roundAnswers | (1 << j) } }
#ifdef MUTANT_NO_QUORUM_ROUND
#define ENOUGH(i) true
#else
#define ENOUGH(i) (ANSWERED(i) >= MAJORITY(i))
#endif
/*
 * Invariant: the minimum version covers all that was accepted before the start.
 */
#define FLOOR(i) \
  :: atomic { asking && roundLeader == i && role[i] == LEADER && \
     term[i] == roundTerm && ENOUGH(i) -> \
     d_step { \
       assert(roundIndex >= owed); \
       WITNESS_FLOOR_REACHED(i) \
       asking = false; owed = 0; \
       roundLeader = NOBODY; roundTerm = 0; roundIndex = 0; \
       roundAnswers = 0 } }
#ifdef WITNESS_FLOOR
#define WITNESS_FLOOR_REACHED(i) assert(!(owed == LENGTH && term[i] == TERMS));
#else
#define WITNESS_FLOOR_REACHED(i)
#endif
#else
#define PROXY_STEPS
#define ROUND(i)
#define ANSWER(i, j)
#define FLOOR(i)
#endif

#define ALONE(i) STAND(i) LEAD(i) PROPOSE(i) COMMITS(i) \
  SYNCED_STEPS(i) ROUND(i) FLOOR(i)
#define PAIR(i, j) HEAR(i, j) GRANT(i, j) APPENDS(i, j) ANSWER(i, j)

#define CHANGES(i, x) PROMOTE(i, x) REMOVE(i, x) SWAPS(i, x)
active proctype group() {
  d_step {
    a = 0;
    do
    :: a < STORAGES && HAS_BIT(FOUNDERS, a) ->
      life[a] = RUNNING;
      voters[a] = FOUNDERS;
      a++
    :: else -> break
    od
  };
end:
  do
  ALONE(0) ALONE(1) ALONE(2)
  PAIR(0, 1) PAIR(0, 2) PAIR(1, 0) PAIR(1, 2) PAIR(2, 0) PAIR(2, 1)
#if JOINS > 0
  ALONE(3)
  PAIR(0, 3) PAIR(1, 3) PAIR(2, 3) PAIR(3, 0) PAIR(3, 1) PAIR(3, 2)
  DEPART(0) DEPART(1) DEPART(2)
  CHANGES(0, 0) CHANGES(0, 1) CHANGES(0, 2) CHANGES(0, 3)
  CHANGES(1, 0) CHANGES(1, 1) CHANGES(1, 2) CHANGES(1, 3)
  CHANGES(2, 0) CHANGES(2, 1) CHANGES(2, 2) CHANGES(2, 3)
  CHANGES(3, 0) CHANGES(3, 1) CHANGES(3, 2) CHANGES(3, 3)
#endif
#if JOINS > 1
  ALONE(4)
  PAIR(0, 4) PAIR(1, 4) PAIR(2, 4) PAIR(3, 4)
  PAIR(4, 0) PAIR(4, 1) PAIR(4, 2) PAIR(4, 3)
  DEPART(3)
  CHANGES(0, 4) CHANGES(1, 4) CHANGES(2, 4) CHANGES(3, 4)
  CHANGES(4, 0) CHANGES(4, 1) CHANGES(4, 2) CHANGES(4, 3) CHANGES(4, 4)
#endif
  PROXY_STEPS
  od
}
