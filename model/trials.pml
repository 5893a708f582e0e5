/*
 * Trials of a held request: the leader names a life of an instance, and the
 * gate of that life lets the request start once. docs/design/model.md maps each
 * step to the code.
 *
 * Two instances take work. Each sees the leader's word late, may end under this
 * request or under other work, and is another life when it is back; its gate
 * may be started again by itself, which makes another life too. Callers ask
 * again and again at each, and may leave before an answer comes. However that
 * falls out, the request starts no more often than trials were granted.
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

/* The quarantine as the log has it; `grant` rises with each word. */
byte trials;
bool onTrial;
byte trialAt;
byte trialLife;
byte grant;

/* Each instance: its life, and the last word that its gate has. */
byte life[INSTANCES];
byte seen[INSTANCES];
bool seenOnTrial[INSTANCES];
byte seenTrials[INSTANCES];
byte seenAt[INSTANCES];
byte seenLife[INSTANCES];

/* The last trial that the gate let start in this life. */
byte begun[INSTANCES];
/* A trial runs; one started in this life and was not answered. */
bool runs[INSTANCES];
bool tried[INSTANCES];

/* Word of an end that the leader has not looked at yet. */
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

/* Word of the leader reaches a gate. */
#define HEAR(i) \
  :: seen[i] != grant -> \
    atomic { \
      seen[i] = grant; \
      seenOnTrial[i] = onTrial; \
      seenTrials[i] = trials; \
      seenAt[i] = trialAt; \
      seenLife[i] = trialLife \
    }

/* A caller asks; the gate lets it start. */
#define START(i) \
  :: seenOnTrial[i] && IS_OWN(i) && IS_FIRST(i) && starts <= TRIALS -> \
    atomic { \
      begun[i] = seenTrials[i]; \
      runs[i] = true; \
      tried[i] = true; \
      starts++ \
    }

/* The caller leaves; nothing runs, and nobody knows how it would have ended. */
#define LEAVE(i) \
  :: runs[i] -> runs[i] = false

/* The instance ends, under this request or under other work. */
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

/* The gate is started again; it tells nothing and remembers nothing. */
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

/* The trial's life ended with it, or is gone: it counts. */
#define CLOSE(i) \
  :: onTrial && trialAt == i && life[i] != trialLife && \
      !(isTold[i] && toldLife[i] == trialLife && !toldTried[i]) -> \
    atomic { onTrial = false; grant++ }

/* The trial's life ended under other work: it moves on. */
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
