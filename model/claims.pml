/*
 * Idempotency claims: work with one key runs at most once, although keepers
 * restart without state, gates are killed, and keeper sets are replaced.
 * docs/design/model.md maps each step to the code and states the abstractions.
 *
 * There is one key. A life is one incarnation of a keeper's node. Lives 0 to 2
 * are the keeper set of epoch 1; each later epoch replaces one life by a new,
 * empty one. An attempt is one gate that tries to run the key's work. Messages
 * may be lost, duplicated and delayed: a step that sends and receives
 * represents any delivery.
 *
 * Bounds, set by the runner:
 *   EPOCHS    keeper sets, 1 to 3
 *   ATTEMPTS  gates that try to run the work, 2 or 3
 *   DEATHS    lives of keepers that may end
 *   SILENT    the gate is killed during a run and reports its end to no keeper
 *   STARTED   the keepers of epoch 1 are active in it from the start
 *   EARLY     sets are assigned before the previous one is active (EPOCHS 3)
 *   APART     attempt 0 asks the last set only, attempt 1 the first only
 * Without loss of generality (at the start lives are interchangeable, and so
 * are attempts): life 0 is the first to leave, the next one is 1 or a new life,
 * and attempt 0 is the first to run.
 */
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif

#ifndef DEATHS
#define DEATHS 1
#endif

#define FIRST_LIVES 3
#define LIVES (FIRST_LIVES + EPOCHS - 1)
#define MAJORITY 2
#define HAS_BIT(mask, x) (((mask) >> (x)) & 1)
#define SIZE(mask) (HAS_BIT(mask, 0) + HAS_BIT(mask, 1) + HAS_BIT(mask, 2) + \
  HAS_BIT(mask, 3) + HAS_BIT(mask, 4))

/* States of a keeper, the values of `stage`. */
#define IDLE 0
#define SYNCING 1
#define ACTIVE 2
#define SEALED 3

/* States of an attempt, the values of `course`. */
#define ASKING 0
#define RUNNING 1
#define OVER 2

/* State of a keeper. */
bool dead[LIVES];
byte stage[LIVES];
byte epoch[LIVES];
byte activeEpoch[LIVES];
byte sealedEpoch[LIVES];
byte holders[LIVES];   /* attempts that hold the key here, one bit each */
bool settled[LIVES];   /* has recorded that the work ran */

/* What a syncing keeper has received from the previous set. */
byte whole[LIVES];     /* members that handed over, one bit per life */
bool fromActive[LIVES];

/* State of a gate's attempt. */
byte course[ATTEMPTS];
byte asked[ATTEMPTS];  /* the epoch whose members it asks */
byte votes[ATTEMPTS];

/* The configuration: members of each epoch, one bit per life. */
byte members[EPOCHS + 1];
byte newest;
byte deaths;

/* Counted by an outside observer, for the invariant. */
byte runs;

#define IS_MEMBER(l, e) HAS_BIT(members[e], l)

inline clearHandover(l) {
  whole[l] = 0;
  fromActive[l] = false
}

inline forget(l) {
  holders[l] = 0;
  settled[l] = false
}

inline activate(l) {
  clearHandover(l);
  if
#ifndef MUTANT_SEAL_KEEPS_VOTING
  :: sealedEpoch[l] >= epoch[l] -> stage[l] = SEALED
#endif
  :: else -> stage[l] = ACTIVE; activeEpoch[l] = epoch[l]
  fi
}

/* A keeper receives an epoch; its own claims count as the first handover. */
inline adopt(l, e) {
  epoch[l] = e;
  clearHandover(l);
  if
  :: !IS_MEMBER(l, e) -> stage[l] = SEALED
  :: else ->
#ifdef MUTANT_SKIP_FORGETS
    /* Wrongly treats claims from before a skipped epoch as obsolete. */
    if
    :: e > 1 && activeEpoch[l] < e - 1 -> forget(l)
    :: else
    fi;
#endif
    stage[l] = SYNCING;
    if
#ifdef MUTANT_NO_HANDOVER
    :: true -> activate(l)
#else
    :: e == 1 -> activate(l)
#endif
    :: e > 1 && IS_MEMBER(l, e - 1) ->
      whole[l] = 1 << l;
      fromActive[l] = (activeEpoch[l] >= e - 1)
    :: e > 1 && !IS_MEMBER(l, e - 1) -> skip
    fi
  fi
}

/*
 * The keeper p seals the epoch before that of l, hands over its claims, and
 * learns the epoch of l from the request.
 */
inline seal(l, p) {
  if
  :: sealedEpoch[p] < epoch[l] - 1 -> sealedEpoch[p] = epoch[l] - 1
  :: else
  fi;
  whole[l] = whole[l] | (1 << p);
  if
  :: activeEpoch[p] >= epoch[l] - 1 ->
    fromActive[l] = true;
    holders[l] = holders[l] | holders[p];
    settled[l] = settled[l] || settled[p];
    if
    :: settled[l] -> holders[l] = 0
    :: else
    fi
  :: else
  fi;
#ifndef MUTANT_SEAL_KEEPS_VOTING
  if
  :: sealedEpoch[p] >= epoch[p] && stage[p] != SYNCING -> stage[p] = SEALED
  :: else
  fi;
  if
  :: epoch[p] < epoch[l] -> adopt(p, epoch[l])
  :: else
  fi
#endif
}

inline takeOver(l) {
  activate(l)
}

#ifdef MUTANT_ONE_SEAL_IS_ENOUGH
#define ENOUGH_SEALED(l) (SIZE(whole[l]) >= 1 && fromActive[l])
#elif defined(MUTANT_NO_ACTIVE_NEEDED)
#define ENOUGH_SEALED(l) (SIZE(whole[l]) >= MAJORITY)
#else
#define ENOUGH_SEALED(l) (SIZE(whole[l]) >= MAJORITY && fromActive[l])
#endif

#ifdef MUTANT_MINORITY_GRANTS
#define WON(c) (SIZE(votes[c]) >= 1)
#else
#define WON(c) (SIZE(votes[c]) >= MAJORITY)
#endif

/*
 * A set is assigned only when a majority of the previous set is active in it.
 */
#define HOLDS_CLAIMS(l) \
  (IS_MEMBER(l, newest) && stage[l] == ACTIVE && epoch[l] == newest)
#if EPOCHS == 1
#define IN_FORCE false
#elif EPOCHS == 2
#define IN_FORCE (HOLDS_CLAIMS(0) + HOLDS_CLAIMS(1) + HOLDS_CLAIMS(2) + \
  HOLDS_CLAIMS(3) >= MAJORITY)
#else
#define IN_FORCE (HOLDS_CLAIMS(0) + HOLDS_CLAIMS(1) + HOLDS_CLAIMS(2) + \
  HOLDS_CLAIMS(3) + HOLDS_CLAIMS(4) >= MAJORITY)
#endif

/* The next epoch: l leaves and a new life joins. */
#define APPOINT(l) \
  :: atomic { newest > 0 && newest < EPOCHS && IS_MEMBER(l, newest) && \
     (newest > 1 || l == 0) && l != 2 && IN_FORCE -> \
     d_step { \
       newest++; \
       members[newest] = (members[newest - 1] & ~(1 << (l))) | \
         (1 << (FIRST_LIVES + newest - 2)) } }

/* A life that is not yet in a set can't receive an epoch. */
#define IS_BORN(l) ((l) < FIRST_LIVES || newest >= (l) - FIRST_LIVES + 2)
#define ADOPT(l, e) \
  :: atomic { !dead[l] && IS_BORN(l) && newest >= e && epoch[l] < e && \
     (epoch[l] > 0 || IS_MEMBER(l, e)) -> \
     d_step { adopt(l, e); skip } }
#ifdef MUTANT_NO_INCARNATION
/* A restarted keeper is taken for its previous life, whose claims it lost. */
#define DIE(l) \
  :: atomic { !dead[l] && epoch[l] > 0 && deaths < DEATHS -> \
     d_step { \
       deaths++; \
       forget(l); clearHandover(l); \
       stage[l] = IDLE; epoch[l] = 0; activeEpoch[l] = 0; \
       sealedEpoch[l] = 0 } }
#else
#define DIE(l) \
  :: atomic { !dead[l] && epoch[l] > 0 && deaths < DEATHS -> \
     d_step { \
       deaths++; \
       dead[l] = true; \
       forget(l); clearHandover(l); \
       stage[l] = IDLE; epoch[l] = 0; activeEpoch[l] = 0; \
       sealedEpoch[l] = 0 } }
#endif
#define SEAL(l, p) \
  :: atomic { !dead[l] && !dead[p] && stage[l] == SYNCING && epoch[l] > 1 && \
     IS_MEMBER(p, epoch[l] - 1) && !HAS_BIT(whole[l], p) -> \
     d_step { seal(l, p); skip } }
#define TAKE_OVER(l) \
  :: atomic { !dead[l] && stage[l] == SYNCING && epoch[l] > 1 && \
     ENOUGH_SEALED(l) -> d_step { takeOver(l); skip } }

/* A gate receives an epoch and asks the members of that epoch. */
#ifdef APART
#define ASK(c, e)
#else
#define ASK(c, e) \
  :: atomic { course[c] == ASKING && newest >= e && asked[c] < e -> \
     d_step { asked[c] = e; votes[c] = 0 } }
#endif
#define VOTE(c, l) \
  :: atomic { course[c] == ASKING && asked[c] > 0 && !dead[l] && \
     IS_MEMBER(l, asked[c]) && stage[l] == ACTIVE && epoch[l] == asked[c] && \
     !settled[l] && (holders[l] & ~(1 << c)) == 0 && !HAS_BIT(votes[c], l) -> \
     d_step { \
       holders[l] = holders[l] | (1 << c); \
       votes[c] = votes[c] | (1 << l) } }
/* Invariant: the work runs at most once. */
#define RUN(c) \
  :: atomic { course[c] == ASKING && WON(c) && (c == 0 || runs > 0) -> \
     d_step { \
       runs++; \
       assert(runs <= 1); \
       WITNESS_RAN(c) \
       course[c] = RUNNING; \
       votes[c] = 0 } }
/* The gate is killed or gives up before the run. Two others must remain. */
#if ATTEMPTS > 2
#define GIVE_UP(c) \
  :: atomic { c == 2 && course[c] == ASKING -> \
     d_step { course[c] = OVER; votes[c] = 0 } }
#else
#define GIVE_UP(c)
#endif
/* A gate that gave up releases the key at each keeper in turn. */
#define RELEASE(c, l) \
  :: atomic { course[c] == OVER && !dead[l] && HAS_BIT(holders[l], c) -> \
     holders[l] = holders[l] & ~(1 << c) }
#ifdef MUTANT_RELEASE_AFTER_RUN
/* The end of the run is reported as if nothing had begun. */
#define END_RUN(c) \
  :: atomic { course[c] == RUNNING -> course[c] = OVER }
#else
#define END_RUN(c)
#endif
/* The end of the run, whatever its result, reaches each keeper in turn. */
#ifdef SILENT
#define SETTLE(c, l)
#else
#define SETTLE(c, l) \
  :: atomic { course[c] == RUNNING && !dead[l] && epoch[l] > 0 && \
     !settled[l] -> d_step { settled[l] = true; holders[l] = 0 } }
#endif
#ifdef WITNESS_RUN_IN_LAST_EPOCH
/* Not an invariant: shows that a key can be claimed after all handovers. */
#define WITNESS_RAN(c) assert(asked[c] != EPOCHS);
#else
#define WITNESS_RAN(c)
#endif

#if EPOCHS == 1
#define EACH_EPOCH(step, x) step(x, 1)
#define EACH_LIFE(step, x) step(x, 0) step(x, 1) step(x, 2)
#elif EPOCHS == 2
#define EACH_EPOCH(step, x) step(x, 1) step(x, 2)
#define EACH_LIFE(step, x) step(x, 0) step(x, 1) step(x, 2) step(x, 3)
#else
#define EACH_EPOCH(step, x) step(x, 1) step(x, 2) step(x, 3)
#define EACH_LIFE(step, x) \
  step(x, 0) step(x, 1) step(x, 2) step(x, 3) step(x, 4)
#endif
#define KEEPER(l) APPOINT(l) DIE(l) TAKE_OVER(l) EACH_EPOCH(ADOPT, l) \
  EACH_LIFE(SEAL, l)
#define GATE(c) RUN(c) GIVE_UP(c) END_RUN(c) EACH_EPOCH(ASK, c) \
  EACH_LIFE(VOTE, c) EACH_LIFE(RELEASE, c) EACH_LIFE(SETTLE, c)

active proctype service() {
  d_step {
    newest = 1;
    members[1] = 7;
#ifdef EARLY
    /*
     * Epochs may be received late anyway, so all sets can exist from the start.
     */
    newest = 3;
    members[2] = 14;
    members[3] = 28;
#endif
#ifdef STARTED
    stage[0] = ACTIVE; epoch[0] = 1; activeEpoch[0] = 1;
    stage[1] = ACTIVE; epoch[1] = 1; activeEpoch[1] = 1;
    stage[2] = ACTIVE; epoch[2] = 1; activeEpoch[2] = 1;
    asked[0] = 1; asked[1] = 1;
#endif
#ifdef APART
    asked[0] = EPOCHS; asked[1] = 1;
#endif
    skip
  };
end:
  do
  KEEPER(0) KEEPER(1) KEEPER(2)
#if EPOCHS > 1
  KEEPER(3)
#endif
#if EPOCHS > 2
  KEEPER(4)
#endif
  GATE(0) GATE(1)
#if ATTEMPTS > 2
  GATE(2)
#endif
  od
}
