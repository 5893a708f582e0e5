/*
 * Trials of a quarantined request: the leader chooses a life (an incarnation)
 * of an instance, and the gate of that life lets the request start once.
 * docs/design/model.md maps each step to the code.
 *
 * Two instances take work. Each receives the leader's decisions late, and may
 * crash because of this request or of other work. After a restart it is a new
 * life; a restart of its gate alone makes a new life too. Callers send the
 * request to each instance repeatedly and may disconnect before the answer. In
 * no case may the request start more often than trials were granted.
 *
 * Bounds, set by the runner:
 *   TRIALS  trials that are granted at most
 *   LIVES   lives that an instance may have
 */
#ifndef TRIALS
#define TRIALS 3
#endif
#ifndef LIVES
#define LIVES 3
#endif

#define INSTANCES 2

/*
 * The quarantine in the log; `grant` is the version of the leader's decision.
 */
byte trials;
bool onTrial;
byte trialAt;
byte trialLife;
byte grant;

/* Each instance: its life, and the last decision that its gate received. */
byte life[INSTANCES];
byte seen[INSTANCES];
bool seenOnTrial[INSTANCES];
byte seenTrials[INSTANCES];
byte seenAt[INSTANCES];
byte seenLife[INSTANCES];

/* The last trial that the gate started in this life. */
byte begun[INSTANCES];
/* A trial is running; a trial of this life started and was not answered. */
bool runs[INSTANCES];
bool tried[INSTANCES];

/* Crash report that the leader has not processed yet. */
bool isTold[INSTANCES];
byte toldLife[INSTANCES];
bool toldTried[INSTANCES];

byte starts;

#ifdef MUTANT_ANY_LIFE
#define IS_OWN(i) (seenAt[i] == i)
#else
#define IS_OWN(i) (seenAt[i] == i && seenLife[i] == life[i])
#endif

#ifdef MUTANT_MANY_STARTS
#define IS_FIRST(i) true
#else
#define IS_FIRST(i) (begun[i] != seenTrials[i])
#endif

#ifdef MUTANT_RUNNING_ONLY
#define COUNTS(i) runs[i]
#else
#define COUNTS(i) tried[i]
#endif

/* The leader's decision reaches a gate. */
#define HEAR(i) \
  :: seen[i] != grant -> \
    atomic { \
      seen[i] = grant; \
      seenOnTrial[i] = onTrial; \
      seenTrials[i] = trials; \
      seenAt[i] = trialAt; \
      seenLife[i] = trialLife \
    }

/* A caller sends the request; the gate lets it start. */
#define START(i) \
  :: seenOnTrial[i] && IS_OWN(i) && IS_FIRST(i) && starts <= TRIALS -> \
    atomic { \
      begun[i] = seenTrials[i]; \
      runs[i] = true; \
      tried[i] = true; \
      starts++ \
    }

/*
 * The caller disconnects: the request is cancelled and its outcome is unknown.
 */
#define LEAVE(i) \
  :: runs[i] -> runs[i] = false

/* The instance crashes because of this request or of other work. */
#define CRASH(i) \
  :: life[i] < LIVES -> \
    atomic { \
      isTold[i] = true; \
      toldLife[i] = life[i]; \
      toldTried[i] = COUNTS(i); \
      life[i]++; \
      begun[i] = 0; \
      runs[i] = false; \
      tried[i] = false \
    }

/* The gate restarts: it sends no report and has no state. */
#define RESTART(i) \
  :: life[i] < LIVES -> \
    atomic { \
      life[i]++; \
      begun[i] = 0; \
      runs[i] = false; \
      tried[i] = false \
    }

/* The leader grants a trial to a life that takes work. */
#define GRANT(i) \
  :: !onTrial && trials < TRIALS -> \
    atomic { trials++; onTrial = true; trialAt = i; trialLife = life[i]; grant++ }

/* The chosen life crashed during the trial or is gone: the trial counts. */
#define CLOSE(i) \
  :: onTrial && trialAt == i && life[i] != trialLife && \
      !(isTold[i] && toldLife[i] == trialLife && !toldTried[i]) -> \
    atomic { onTrial = false; grant++ }

/*
 * The chosen life crashed because of other work: the trial moves to the other.
 */
#define MOVE(i) \
  :: onTrial && trialAt == i && isTold[i] && toldLife[i] == trialLife && \
      !toldTried[i] -> \
    atomic { trialAt = 1 - i; trialLife = life[1 - i]; grant++ }

active proctype request() {
  do
  HEAR(0) HEAR(1)
  START(0) START(1)
  LEAVE(0) LEAVE(1)
  CRASH(0) CRASH(1)
  RESTART(0) RESTART(1)
  GRANT(0) GRANT(1)
  CLOSE(0) CLOSE(1)
  MOVE(0) MOVE(1)
  :: starts > trials -> break
#ifdef WITNESS_TRIED
  :: starts == TRIALS -> break
#endif
  od;
#ifdef WITNESS_TRIED
  assert(starts != TRIALS);
#endif
  assert(starts <= trials)
}
