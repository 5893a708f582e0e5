/*
 * Who meets whom in the control group: which processes call which, and what
 * hellos tell of the members. docs/design/model.md maps each step to the code.
 *
 * Processes 0 to 2 are the founders, whom settings name. 3 has joined them. 4
 * stands ready, and settings name the founders to it. 5 stands ready too; its
 * settings name 4 alone. Whoever leads must have met each process that stands
 * ready, or it can't put it in a lost voter's place. So when nothing is left to
 * be said, each member that runs has met each process beside the group.
 *
 * Bounds, set by the runner:
 *   LOSSES  members that may be lost, at any time
 *   JOIN    4 may take the place of a lost member
 */
#ifndef LOSSES
#define LOSSES 2
#endif

#define PROCESSES 6
#define FOUNDERS 7
#define MEMBERS 15
#define BIT(p) (1 << (p))
#define HAS(mask, p) (((mask) >> (p)) & 1)

/* Processes that run, and the group's present members, one bit each. */
byte running = 63;
byte members = MEMBERS;
/* The entry that made them members. */
byte membersAt = 1;
byte lost;

/* Whom a process calls, who introduced itself to it, what it knows. */
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

/* What a call from p to q changes: the link is kept both ways, q may learn. */
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

/* A member is lost for good. */
#define LOSE(p) \
  :: HAS(running, p) && HAS(members, p) && lost < LOSSES -> \
    atomic { running = running & ~BIT(p); lost++ }

/* Members follow their own log: all call all, and are taken to have met. */
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
  /* The leader, which met it, puts 4 in a lost member's place. */
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
