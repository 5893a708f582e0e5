/*
 * A roll-out: the leader gives the target a share, then all requests, and
 * completes when no request runs at the stable version any more; or it is
 * rolled back. docs/design/model.md maps each step to the code.
 *
 * Two entries receive the state late, may be cut off from control and return,
 * and report late, repeatedly and out of order. The leader may change at any
 * moment and then knows nothing but the log; a step of the one before may still
 * be applied. An operator may roll back, and order again.
 *
 * Bounds, set by the runner:
 *   ORDERS  orders of a roll-out
 *   FAULTS  failed answers at each entry
 *   CUTS    times that an entry is cut off
 *   WORK    requests of an entry that run at the stable version at once
 */
#ifndef ORDERS
#define ORDERS 1
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef CUTS
#define CUTS 1
#endif
#ifndef WORK
#define WORK 1
#endif

#define ENTRIES 2
#define RUN 0
#define SWITCH 1
#define DONE 2
#define BACK 3

/* Failed answers from which the target counts as bad. */
#define BAD 2

/* The log: the last order, its phase, and the version that set the phase. */
byte order = 1;
byte phase = RUN;
byte version = 1;

/* Each entry: the state in force, its work, and its way to control. */
byte seenPhase[ENTRIES];
byte seenVersion[ENTRIES];
bool running[ENTRIES];
bool isCut[ENTRIES];
bool hasLease[ENTRIES];
byte failed[ENTRIES];
byte cuts;

/* A report on its way, and what the leader has heard. */
bool isSent[ENTRIES];
byte sentVersion[ENTRIES];
bool sentRunning[ENTRIES];
byte sentFailed[ENTRIES];
bool isTold[ENTRIES];
byte toldVersion[ENTRIES];
bool toldRunning[ENTRIES];
byte toldFailed[ENTRIES];

/* A step of a leader that has lost its place: the order and the phase. */
byte lateOrder;
byte latePhase;

/* All entries have the end in force, or have lost their lease. */
bool isSettled;

#ifdef MUTANT_NO_LEASE
#define MAY_USE(i) (seenPhase[i] == RUN)
#else
#define MAY_USE(i) (seenPhase[i] == RUN && hasLease[i])
#endif

#ifdef MUTANT_ANY_VERSION
#define IS_AFTER(i) isTold[i]
#else
#define IS_AFTER(i) (isTold[i] && toldVersion[i] >= version)
#endif

#ifdef MUTANT_COMPLETES_EARLY
#define IS_IDLE(i) true
#else
#define IS_IDLE(i) (!toldRunning[i])
#endif

#ifdef MUTANT_NO_STEP_CHECK
#define MAY_STEP(o) true
#else
#define MAY_STEP(o) (o == order && phase < DONE)
#endif

#define MOVED(i) (isCut[i] || (IS_AFTER(i) && IS_IDLE(i)))

/* The state reaches an entry in touch. */
#define HEAR(i) \
  :: !isCut[i] && seenVersion[i] != version -> \
    atomic { seenVersion[i] = version; seenPhase[i] = phase; hasLease[i] = true }

/* A request goes to the stable version, and ends. */
#define START_STABLE(i) \
  :: WORK && (seenPhase[i] == RUN || seenPhase[i] == BACK) && !running[i] -> \
    atomic { \
      assert(!(phase == DONE && !isCut[i])); /* stoppedAtWork */ \
      running[i] = true \
    }

#define END_STABLE(i) \
  :: running[i] -> running[i] = false

/* A request goes to the target and fails. */
#define START_TARGET(i) \
  :: MAY_USE(i) && failed[i] < FAULTS -> \
    atomic { assert(!isSettled); failed[i]++ }

#define CUT(i) \
  :: !isCut[i] && !isSettled && cuts < CUTS -> \
    atomic { isCut[i] = true; cuts++ }

#define EXPIRE(i) \
  :: isCut[i] && hasLease[i] -> hasLease[i] = false

/* The entry is in touch again once it has the state in force. */
#define RETURN(i) \
  :: isCut[i] -> \
    atomic { \
      isCut[i] = false; \
      seenVersion[i] = version; \
      seenPhase[i] = phase; \
      hasLease[i] = true \
    }

#define SEND(i) \
  :: !isCut[i] -> \
    atomic { \
      isSent[i] = true; \
      sentVersion[i] = seenVersion[i]; \
      sentRunning[i] = running[i]; \
      sentFailed[i] = failed[i] \
    }

/* A report arrives; it may arrive again. */
#ifdef MUTANT_COUNTED_TWICE
#define ADD(i) toldFailed[i] = toldFailed[i] + sentFailed[i]
#else
#define ADD(i) toldFailed[i] = (sentFailed[i] > toldFailed[i] -> sentFailed[i] : toldFailed[i])
#endif

#define ARRIVE(i) \
  :: isSent[i] && toldFailed[i] <= BAD && !isCut[i] -> \
    atomic { \
      isTold[i] = true; \
      toldVersion[i] = sentVersion[i]; \
      toldRunning[i] = sentRunning[i]; \
      ADD(i) \
    }

#define SET(next) \
  assert(phase < DONE || next >= DONE); \
  phase = next; \
  version++

active proctype rollout() {
  hasLease[0] = true;
  hasLease[1] = true;
  seenVersion[0] = 1;
  seenVersion[1] = 1;
  do
  HEAR(0) HEAR(1)
  START_STABLE(0) START_STABLE(1)
  END_STABLE(0) END_STABLE(1)
  START_TARGET(0) START_TARGET(1)
  CUT(0) CUT(1)
  EXPIRE(0) EXPIRE(1)
  RETURN(0) RETURN(1)
  SEND(0) SEND(1)
  ARRIVE(0) ARRIVE(1)
  /* The leader gives the target all requests, or prepares to and is deposed. */
  :: phase == RUN -> atomic { SET(SWITCH) }
  :: phase == RUN && latePhase == 0 -> atomic { lateOrder = order; latePhase = SWITCH }
  :: phase == SWITCH && MOVED(0) && MOVED(1) && !(isCut[0] && isCut[1]) ->
    atomic {
      assert((isCut[0] || !running[0]) && (isCut[1] || !running[1]));
      SET(DONE);
#ifdef WITNESS_COMPLETED
      assert(phase != DONE)
#endif
    }
  /* The target counts as bad. */
  :: phase < DONE && toldFailed[0] + toldFailed[1] >= BAD ->
    atomic { assert(failed[0] + failed[1] >= BAD); SET(BACK) }
  /* An operator rolls it back, and orders it again. */
  :: phase < DONE -> atomic { SET(BACK) }
  :: phase == BACK && order < ORDERS ->
    atomic { order++; phase = RUN; version++; isSettled = false }
  /* The step of the leader before is applied. */
  :: latePhase != 0 && MAY_STEP(lateOrder) ->
    atomic { SET(latePhase); latePhase = 0 }
  :: latePhase != 0 && !MAY_STEP(lateOrder) -> latePhase = 0
  /* Another leader knows only the log. */
  :: isTold[0] || isTold[1] ->
    atomic {
      isTold[0] = false;
      isTold[1] = false;
      toldFailed[0] = 0;
      toldFailed[1] = 0
    }
  :: phase == BACK && order == ORDERS && !isSettled &&
      ((!isCut[0] && seenPhase[0] == BACK) || (isCut[0] && !hasLease[0])) &&
      ((!isCut[1] && seenPhase[1] == BACK) || (isCut[1] && !hasLease[1])) ->
    isSettled = true
  od
}
