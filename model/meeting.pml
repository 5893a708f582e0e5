/*
 * How the processes of the control group discover each other: which process
 * calls which, and what a hello message says about the members.
 * docs/design/model.md maps each step to the code.
 *
 * Processes 0 to 2 are the founders, which the settings contain. Process 3 has
 * joined them. Processes 4 and 5 are on standby: the settings of 4 contain the
 * founders, those of 5 contain only 4. The leader must have met a standby
 * process before it can replace a lost voter by it. Therefore, when no message
 * changes anything any more, each running member must have met each process
 * outside the group.
 *
 * Bounds, set by the runner:
 *   LOSSES  members that may be lost, at any time
 *   JOIN    process 4 may replace a lost member
 */
#ifndef LOSSES
#define LOSSES 2
#endif

#define PROCESSES 6
#define FOUNDERS 7
#define MEMBERS 15
#define BIT(p) (1 << (p))
#define HAS(mask, p) (((mask) >> (p)) & 1)

/* Running processes and current members of the group, one bit each. */
byte running = 63;
byte members = MEMBERS;
/* Index of the membership's log entry. */
byte membersAt = 1;
byte lost;

/* The processes that each one calls, has met, and knows as members. */
byte calls[PROCESSES];
byte met[PROCESSES];
byte known[PROCESSES];
byte knownAt[PROCESSES];

#ifdef MUTANT_SETTINGS_ONLY
#define TELLS(p, q) false
#else
#ifdef MUTANT_OUTSIDERS_SILENT
#define TELLS(p, q) (HAS(members, p) && knownAt[p] > knownAt[q] && !HAS(known[p], q))
#else
#define TELLS(p, q) (knownAt[p] > knownAt[q] && !HAS(known[p], q))
#endif
#endif

/* A call from p to q: both keep the link, and q may receive newer members. */
#define IS_NEWS(p, q) \
  (!HAS(met[q], p) || !HAS(calls[q], p) || TELLS(p, q))
#define CALL(p, q) \
  :: HAS(running, p) && HAS(running, q) && HAS(calls[p], q) && IS_NEWS(p, q) -> \
    atomic { \
      met[q] = met[q] | BIT(p); \
      calls[q] = calls[q] | BIT(p); \
      if \
      :: TELLS(p, q) -> \
        known[q] = known[p]; \
        knownAt[q] = knownAt[p]; \
        calls[q] = calls[q] | known[p] \
      :: else \
      fi \
    }
#define CALLS(p) CALL(p, 0) CALL(p, 1) CALL(p, 2) CALL(p, 3) CALL(p, 4) CALL(p, 5)

/* A member is lost permanently. */
#define LOSE(p) \
  :: HAS(running, p) && HAS(members, p) && lost < LOSSES -> \
    atomic { running = running & ~BIT(p); lost++ }

/* Members apply their log: each one calls all others and counts as met. */
#define FOLLOW(p) \
  if \
  :: HAS(members, p) -> \
    known[p] = members; \
    knownAt[p] = membersAt; \
    met[p] = met[p] | members; \
    calls[p] = calls[p] | members \
  :: else \
  fi;

#define MET_ALL(p) \
  (!HAS(running, p) || !HAS(members, p) || \
    ((HAS(members, 4) || HAS(met[p], 4)) && HAS(met[p], 5)))

active proctype group() {
  calls[3] = FOUNDERS;
  calls[4] = FOUNDERS;
  calls[5] = BIT(4);
  FOLLOW(0) FOLLOW(1) FOLLOW(2) FOLLOW(3)
  do
  CALLS(0)
  CALLS(1)
  CALLS(2)
  CALLS(3)
  CALLS(4)
  CALLS(5)
  LOSE(0)
  LOSE(1)
  LOSE(2)
  LOSE(3)
#ifdef JOIN
  /* A leader that has met 4 replaces a lost member by it. */
  :: membersAt == 1 && lost > 0 &&
      (HAS(met[0], 4) && HAS(running, 0) || HAS(met[1], 4) && HAS(running, 1) ||
       HAS(met[2], 4) && HAS(running, 2) || HAS(met[3], 4) && HAS(running, 3)) ->
    atomic {
      members = (members & running) | BIT(4);
      membersAt = 2;
      FOLLOW(0) FOLLOW(1) FOLLOW(2) FOLLOW(3) FOLLOW(4)
    }
#endif
  :: else -> break
  od;
#ifdef WITNESS_MET
  assert(!HAS(met[3], 5));
#endif
  assert(MET_ALL(0) && MET_ALL(1) && MET_ALL(2) && MET_ALL(3) && MET_ALL(4))
}
