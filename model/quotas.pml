/*
 * The shares of two homes in one quota, assigned by the leader of the control
 * group. docs/design/model.md maps each step to the code.
 *
 * A second leader is elected at any moment; the first one acts until its last
 * confirmation is too old. Reports and replies are lost and late. A
 * home's lease ends at any moment at which it is not renewed.
 *
 * Time is not modelled: a step that waits for a time is possible once all that
 * must have ended by then has ended.
 *
 * Bounds, set by the runner:
 *   OFFERS  shares that leaders assign, in all
 *   REPORTS reports of homes, in all
 *   ENDS    leases that end, in all
 */
#ifndef OFFERS
#define OFFERS 3
#endif
#ifndef REPORTS
#define REPORTS 6
#endif
#ifndef ENDS
#define ENDS 1
#endif

#define QUOTA 2
#define NONE 255

/* Each home: the share in use, its number, the last leader it has heard. */
byte share[2];
byte number[2];
bool isLeased[2];
byte seen[2];
/* How often the share was changed, and by which leader it was last. */
byte changes[2];
byte changedBy[2];

/* Leaders 0 and 1: what they know of each home (index 2 * leader + home). */
byte known[4];
byte knownNumber[4];
/* The largest share offered that may still be accepted. */
byte offered[4];
bool isHeard[4];
/* No share that this leader has renewed can be in use any more. */
bool hasEnded[4];
/* The lease that the first leader has renewed ended before the election. */
bool endedBefore[2];

/* Reports and replies under way. */
bool isSent[4];
byte sentShare[4];
byte sentNumber[4];
byte sentChanges[4];
byte replyBasis[4];
byte replyNumber[4];
byte replyShare[4];
byte replyChanges[4];
/* An earlier reply that is late. */
byte lateBasis[4];
byte lateNumber[4];
byte lateShare[4];
byte lateChanges[4];

bool isElected;
bool isDeposed;
bool hasWaited;
byte offers = 1;
byte reports;
byte ends;

#define IN_USE(h) (isLeased[h] -> share[h] : 0)
#define CHECK assert(IN_USE(0) + IN_USE(1) <= QUOTA)

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef MUTANT_OFFERS_UNCOUNTED
#define HELD(x) (isHeard[x] -> known[x] : 0)
#else
#define HELD(x) (isHeard[x] -> MAX(known[x], offered[x]) : 0)
#endif

#ifdef MUTANT_OLD_LEADER_ACTS
#define ACTS(l) ((l) == 0 || isElected)
#else
#define ACTS(l) (((l) == 0 && !isDeposed) || ((l) == 1 && isElected))
#endif

#ifdef MUTANT_NO_WAIT
#define MAY_ASSIGN(l) true
#else
#define MAY_ASSIGN(l) ((l) == 0 || hasWaited)
#endif

/* A share is raised by no more than the other home leaves, and not at all, above
   what was reported, before a new leader has waited. */
#ifdef MUTANT_KEEPS_REPORTED
#define IS_ROOM(l, h, s) \
  ((s) <= HELD(2 * (l) + h) || (MAY_ASSIGN(l) && (s) + HELD(2 * (l) + 1 - h) <= QUOTA))
#else
#define IS_ROOM(l, h, s) \
  ((s) + HELD(2 * (l) + 1 - h) <= QUOTA && (MAY_ASSIGN(l) || (s) <= known[2 * (l) + h]))
#endif

#ifdef MUTANT_ANY_BASIS
#define IS_BASIS(h, n) true
#else
#define IS_BASIS(h, n) ((n) == number[h])
#endif

#ifdef MUTANT_ANY_TERM
#define IS_TERM(h, l) true
#else
#define IS_TERM(h, l) ((l) >= seen[h])
#endif

#ifdef MUTANT_ANY_REPORT
#define IS_RECENT(h, l, c) true
#else
#define IS_RECENT(h, l, c) (changedBy[h] == (l) || (c) == changes[h])
#endif

#define CLEAR_REPORT(x) \
  isSent[x] = false; \
  sentShare[x] = 0; \
  sentNumber[x] = 0; \
  sentChanges[x] = 0

#define CLEAR_REPLY(x) \
  replyNumber[x] = NONE; \
  replyBasis[x] = 0; \
  replyShare[x] = 0; \
  replyChanges[x] = 0

#define CLEAR_LATE(x) \
  lateNumber[x] = NONE; \
  lateBasis[x] = 0; \
  lateShare[x] = 0; \
  lateChanges[x] = 0

/* A home reports to a leader. */
#define SEND(l, h) \
  :: ACTS(l) && !isSent[2 * l + h] && reports < REPORTS -> \
    atomic { \
      reports++; \
      isSent[2 * l + h] = true; \
      sentShare[2 * l + h] = IN_USE(h); \
      sentNumber[2 * l + h] = number[h]; \
      sentChanges[2 * l + h] = changes[h] \
    }

#define RECEIVE(x) \
  if \
  :: !isHeard[x] || sentNumber[x] != knownNumber[x] -> offered[x] = 0 \
  :: else \
  fi; \
  isHeard[x] = true; \
  known[x] = sentShare[x]; \
  knownNumber[x] = sentNumber[x]

/* A reply follows an earlier one, which is lost or late. */
#define REPLY(x, n, s) \
  if \
  :: replyNumber[x] != NONE -> \
    lateNumber[x] = replyNumber[x]; \
    lateBasis[x] = replyBasis[x]; \
    lateShare[x] = replyShare[x]; \
    lateChanges[x] = replyChanges[x] \
  :: true \
  fi; \
  replyNumber[x] = n; \
  replyBasis[x] = sentNumber[x]; \
  replyShare[x] = s; \
  replyChanges[x] = sentChanges[x]; \
  hasEnded[x] = false; \
  CLEAR_REPORT(x)

/* A leader renews the share that a home reports. */
#define RENEW(l, h) \
  :: ACTS(l) && isSent[2 * l + h] -> \
    atomic { RECEIVE(2 * l + h); REPLY(2 * l + h, 0, 0) }

/* A leader assigns another share, raised by no more than what is free. */
#define OFFER(l, h, s) \
  :: ACTS(l) && isSent[2 * l + h] && offers < OFFERS + 1 -> \
    atomic { \
      RECEIVE(2 * l + h); \
      if \
      :: IS_ROOM(l, h, s) -> \
        offers++; \
        REPLY(2 * l + h, offers, s); \
        offered[2 * l + h] = MAX(offered[2 * l + h], s) \
      :: else -> REPLY(2 * l + h, 0, 0) \
      fi \
    }

#define APPLY(l, h, n, b, s) \
  seen[h] = l; \
  if \
  :: !isLeased[h] -> share[h] = 0 \
  :: else \
  fi; \
  isLeased[h] = true; \
  if \
  :: n > 0 && IS_BASIS(h, b) -> \
    share[h] = s; \
    number[h] = n; \
    changes[h]++; \
    changedBy[h] = l \
  :: else \
  fi; \
  CHECK

#define ACCEPT(l, h) \
  :: replyNumber[2 * l + h] != NONE && IS_TERM(h, l) && \
      IS_RECENT(h, l, replyChanges[2 * l + h]) -> \
    atomic { \
      APPLY(l, h, replyNumber[2 * l + h], replyBasis[2 * l + h], replyShare[2 * l + h]); \
      CLEAR_REPLY(2 * l + h) \
    }

#define ACCEPT_LATE(l, h) \
  :: lateNumber[2 * l + h] != NONE && IS_TERM(h, l) && \
      IS_RECENT(h, l, lateChanges[2 * l + h]) -> \
    atomic { \
      APPLY(l, h, lateNumber[2 * l + h], lateBasis[2 * l + h], lateShare[2 * l + h]); \
      CLEAR_LATE(2 * l + h) \
    }

#ifdef MUTANT_LATE_AFTER_END
#define MARK_END(h) true
#else
#define MARK_END(h) changes[h]++; changedBy[h] = NONE
#endif

/* The lease of a home ends; replies to its earlier reports are too old. */
#define END(h) \
  :: isLeased[h] && ends < ENDS -> \
    atomic { \
      ends++; \
      isLeased[h] = false; \
      MARK_END(h); \
      endedBefore[h] = !isElected; \
      hasEnded[h] = true; \
      hasEnded[2 + h] = true; \
      CLEAR_REPLY(h); \
      CLEAR_REPLY(2 + h); \
      CLEAR_LATE(h); \
      CLEAR_LATE(2 + h) \
    }

/* A report is lost. */
#define DROP(l, h) \
  :: isSent[2 * l + h] -> atomic { CLEAR_REPORT(2 * l + h) }

/* A leader has not heard of a home for so long that its lease has ended. */
#ifdef MUTANT_NO_LEASE
#define IS_OVER(l, h) true
#else
#ifdef MUTANT_NO_MARGIN
#define IS_OVER(l, h) hasEnded[2 * l + h]
#else
/* The first leader waits until it would have noticed an election before. */
#define IS_OVER(l, h) (hasEnded[2 * l + h] && ((l) == 1 || endedBefore[h]))
#endif
#endif

#define LOSE(l, h) \
  :: ACTS(l) && isHeard[2 * l + h] && IS_OVER(l, h) -> \
    atomic { \
      isHeard[2 * l + h] = false; \
      known[2 * l + h] = 0; \
      offered[2 * l + h] = 0; \
      knownNumber[2 * l + h] = 0 \
    }

#define IS_WAITED(h) (hasEnded[h] || (seen[h] == 1 && isHeard[2 + h]))

#define BOTH(step, l) step(l, 0) step(l, 1)

active proctype quotas() {
  byte i;
  atomic {
    for (i : 0 .. 3) {
      replyNumber[i] = NONE;
      lateNumber[i] = NONE
    }
    share[0] = QUOTA;
    number[0] = 1;
    known[0] = QUOTA;
    knownNumber[0] = 1;
    isHeard[0] = true;
    isHeard[1] = true;
    isLeased[0] = true;
    isLeased[1] = true
  }
  do
  BOTH(SEND, 0) BOTH(SEND, 1)
  BOTH(DROP, 0) BOTH(DROP, 1)
  BOTH(RENEW, 0) BOTH(RENEW, 1)
  OFFER(0, 0, 0) OFFER(0, 0, 1) OFFER(0, 0, 2)
  OFFER(0, 1, 0) OFFER(0, 1, 1) OFFER(0, 1, 2)
  OFFER(1, 0, 0) OFFER(1, 0, 1) OFFER(1, 0, 2)
  OFFER(1, 1, 0) OFFER(1, 1, 1) OFFER(1, 1, 2)
  BOTH(ACCEPT, 0) BOTH(ACCEPT, 1)
  BOTH(ACCEPT_LATE, 0) BOTH(ACCEPT_LATE, 1)
  END(0) END(1)
  BOTH(LOSE, 0) BOTH(LOSE, 1)
  :: !isElected -> isElected = true
  :: isElected && !isDeposed -> isDeposed = true
  /* What the first leader has renewed has ended, or its home was heard. */
  :: isDeposed && !hasWaited && IS_WAITED(0) && IS_WAITED(1) ->
    atomic {
      hasWaited = true;
      for (i : 0 .. 1) {
        CLEAR_REPLY(i);
        CLEAR_LATE(i)
      }
    }
#ifdef WITNESS_MOVED
  :: isLeased[1] && share[1] == QUOTA && changedBy[1] == 1 ->
    assert(share[1] != QUOTA)
#endif
  od
}
