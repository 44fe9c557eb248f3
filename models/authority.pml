/*
 * The fleet's authority: claims and renewals in the log, a lease that counts
 * from before the append was sent, a challenger that waits from when it read
 * the newest renewal, pauses between check and send, and a backend server that
 * checks fencing numbers (-DCHECKING) or does not.
 *
 * Time is a counter. Any process may stand still while it advances, so that
 * pauses and slow messages need no steps of their own. The log may lose a
 * record, or take it late; whether a record took effect is learnt by reading.
 *
 * Mechanisms that a define takes away:
 *   NO_DEATH_TIMER   check and send are two steps, with a pause between them
 *   NO_FENCE_CHECK   a checking backend server takes any fencing number
 *   NO_EXPECTS       a claim counts whatever claim it names
 *   NO_CLAIM_ID      a late claim of its own passes for the one sent last
 *   NO_GRACE         a challenger does not wait for bytes under way
 * ONLY_ORDER asserts only that no older order follows a newer one.
 */

#define CANDIDATES 2
#define LEASE 2
#define MAX_TIME 6
#define MAX_CLAIMS 3
#define MAX_RENEWALS 1
#define MAX_ORDERS 2
/* How long bytes live that were handed to the kernel: TCP_USER_TIMEOUT. */
#define BYTES_LIVE 2
#ifdef NO_GRACE
#define GRACE 0
#else
#define GRACE 1
#endif

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:authority = { follower, claiming, holding, lapsed };
mtype:record = { claimRecord, renewalRecord, releaseRecord };

byte now = 0;

/* The fold of the log: the newest valid claim, its holder, its renewals. The
 * claims are numbered in place of the offsets that the code uses. */
byte claim = 0;
byte claimId = 0; /* tells the claims of one candidate apart */
byte renewals = 0;
bool released = false;

chan toLog = [2] of { mtype:record, byte, byte, byte }; /* kind, id, a, b */
chan toBackend = [2] of { byte, byte };                 /* fence, sent at */

byte acceptedFence = 0;
byte claimsSent = 0;
byte renewalsSent = 0;
byte ordersSent = 0;

active proctype Time()
{
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

active proctype Log()
{
  mtype:record kind;
  byte id, first, second;
end:
  do
  :: atomic { toLog ? kind, id, first, second ->
      if
      :: true -> skip /* the request was lost */
      :: kind == claimRecord ->
        if
#ifdef NO_EXPECTS
        :: true ->
          claim++; claimId = id; renewals = 0; released = false
#else
        :: first == claim && (second == renewals || released) ->
          claim++; claimId = id; renewals = 0; released = false
        :: else -> skip
#endif
        fi
      :: kind == renewalRecord && first == claim && !released -> renewals++
      :: kind == releaseRecord && first == claim -> released = true
      fi;
      kind = 0; id = 0; first = 0; second = 0 }
  od
}

active proctype Backend()
{
  byte fence, sent;
end:
  do
  :: atomic { toBackend ? fence, sent ->
      if
      :: now >= sent + BYTES_LIVE -> skip /* the kernel dropped the bytes */
#if defined(CHECKING) && !defined(NO_FENCE_CHECK)
      :: now < sent + BYTES_LIVE && fence < acceptedFence -> skip
      :: now < sent + BYTES_LIVE && fence >= acceptedFence ->
#else
      :: now < sent + BYTES_LIVE ->
#endif
        /* No conflicting orders: an older one never follows a newer one. */
        assert(fence >= acceptedFence);
#ifndef ONLY_ORDER
        /* Only the authority's orders have an effect. */
        assert(fence == claim);
#endif
        acceptedFence = fence
      fi;
      fence = 0; sent = 0
    }
  od
}

#ifdef NO_DEATH_TIMER
#define MAY_SEND (mayRun)
#else
#define MAY_SEND (now < validUntil)
#endif

#ifdef NO_CLAIM_ID
#define FORGET_ID
#define MINE (myId > 0 && claimId > 0 && claimId <= myId && claim > readClaim)
#else
#define FORGET_ID myId = 0;
#define MINE (claimId == myId)
#endif

/* A follower reads the log anew; what it knew counts no more. */
#define FORGET \
  FORGET_ID fence = 0; validUntil = 0; confirmed = 0; renewing = false; sentAt = 0; \
  readClaim = claim; readRenewals = renewals; readReleased = released; \
  seenAt = now

active [CANDIDATES] proctype Candidate()
{
  mtype:authority state = follower;
  byte myId = 0;
  byte readClaim = 0, readRenewals = 0, seenAt = 0;
  bool readReleased = false;
  byte sentAt = 0, fence = 0, validUntil = 0, confirmed = 0;
  bool renewing = false;
  bool mayRun = false;
end:
  do
  /* Reads the log to its end. */
  :: atomic { state == follower &&
              (readClaim != claim || readRenewals != renewals ||
               readReleased != released) ->
      readClaim = claim; readRenewals = renewals; readReleased = released;
      seenAt = now }
  :: atomic { state == follower && claimsSent < MAX_CLAIMS && nfull(toLog) &&
              (readClaim == 0 || readReleased ||
               now >= seenAt + LEASE + GRACE) ->
      claimsSent++;
      myId = claimsSent;
      sentAt = now;
      toLog ! claimRecord, myId, readClaim, readRenewals;
      step(state, follower, claim, claiming) }
  :: atomic { state == claiming && MINE ->
      step(state, claiming, won, holding);
      fence = claim; validUntil = sentAt + LEASE;
      readClaim = 0; readRenewals = 0; readReleased = false; seenAt = 0;
      sentAt = 0 }
  :: atomic { state == claiming -> step(state, claiming, lost, follower);
      FORGET }

  :: atomic { state == holding && !renewing && renewalsSent < MAX_RENEWALS &&
              nfull(toLog) && now < validUntil ->
      renewalsSent++;
      sentAt = now; renewing = true;
      toLog ! renewalRecord, 0, fence, 0 }
  :: atomic { state == holding && renewing && claim == fence &&
              renewals > confirmed ->
      step(state, holding, renewed, holding);
      confirmed = renewals; renewing = false; validUntil = sentAt + LEASE;
      sentAt = 0 }
  :: atomic { state == lapsed && renewing && claim == fence &&
              renewals > confirmed && now < sentAt + LEASE ->
      step(state, lapsed, renewed, holding);
      confirmed = renewals; renewing = false; validUntil = sentAt + LEASE;
      sentAt = 0 }

  /* Checks the lease; with the kernel's timer armed, a process that stands
   * still beyond the lease's end takes no further step, so that the check and
   * the send are as one. */
  :: atomic { state == holding && !mayRun && now < validUntil ->
      mayRun = true }
  :: atomic { mayRun && MAY_SEND && nfull(toBackend) &&
              ordersSent < MAX_ORDERS ->
      toBackend ! fence, now; ordersSent++; mayRun = false }
  :: atomic { mayRun -> mayRun = false }

  :: atomic { state == holding && !mayRun && now >= validUntil ->
      step(state, holding, lapse, lapsed) }
  :: atomic { state == holding && !mayRun && claim != fence ->
      step(state, holding, superseded, follower); FORGET }
  :: atomic { state == lapsed && claim != fence ->
      step(state, lapsed, superseded, follower); FORGET }
  /* Given up only when no order of its own is under way. */
  :: atomic { state == holding && !mayRun && empty(toBackend) &&
              nfull(toLog) ->
      toLog ! releaseRecord, 0, fence, 0;
      step(state, holding, release, follower); FORGET }
  :: atomic { state == lapsed && empty(toBackend) && nfull(toLog) ->
      toLog ! releaseRecord, 0, fence, 0;
      step(state, lapsed, release, follower); FORGET }
  od
}
