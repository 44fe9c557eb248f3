/*
 * Models the lease on the authority over the fleet. Candidates append claims
 * and renewals to the log. A lease is counted from the time before its record
 * was sent. A challenger waits from the time at which it read the newest
 * renewal. A holder may pause between checking its lease and sending an order.
 * The backend server checks fencing numbers only with BACKEND_CHECKS_FENCE.
 *
 * Time is a counter. Any process may make no step while it advances, so that
 * pauses and slow messages need no steps of their own. The log may lose a
 * record or append it late. Candidates learn only by reading the log whether a
 * record took effect.
 *
 * Each of these defines removes a mechanism:
 *   NO_LEASE_WATCHDOG     a holder that pauses between the check and the send
 *                         may send after its lease has ended
 *   NO_FENCE_CHECK        a checking backend server accepts any fencing number
 *   NO_PREDECESSOR_CHECK  a claim is valid whatever claim and renewal it names
 *   NO_CLAIM_ID           a candidate takes a late claim of its own for the one
 *                         that it sent last
 *   NO_GRACE              a challenger does not wait for bytes in flight
 * ASSERT_ORDER_ONLY asserts only that no older order follows a newer one.
 */

#define CANDIDATES 2
#define LEASE 2
#define MAX_TIME 6
#define MAX_CLAIMS 3
#define MAX_RENEWALS 1
#define MAX_ORDERS 2
/* Time for which the kernel tries to deliver bytes: TCP_USER_TIMEOUT. */
#define SEND_TIMEOUT 2
#ifdef NO_GRACE
#define GRACE 0
#else
#define GRACE 1
#endif

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:authority = { follower, claiming, holding, lapsed };
mtype:record = { claimRecord, renewalRecord, releaseRecord };

byte now = 0;

/* The state that results from the log: the newest valid claim, its holder and
 * its renewals. Claims have numbers here; the code uses their log offsets. */
byte claim = 0;
byte claimId = 0; /* distinguishes the claims of one candidate */
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
#ifdef NO_PREDECESSOR_CHECK
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
      :: now >= sent + SEND_TIMEOUT -> skip /* the kernel discarded the bytes */
#if defined(BACKEND_CHECKS_FENCE) && !defined(NO_FENCE_CHECK)
      :: now < sent + SEND_TIMEOUT && fence < acceptedFence -> skip
      :: now < sent + SEND_TIMEOUT && fence >= acceptedFence ->
#else
      :: now < sent + SEND_TIMEOUT ->
#endif
        /* No conflicting orders: an older order never follows a newer one. */
        assert(fence >= acceptedFence);
#ifndef ASSERT_ORDER_ONLY
        /* Only orders of the current holder have an effect. */
        assert(fence == claim);
#endif
        acceptedFence = fence
      fi;
      fence = 0; sent = 0
    }
  od
}

#ifdef NO_LEASE_WATCHDOG
#define MAY_SEND (leaseChecked)
#else
#define MAY_SEND (now < validUntil)
#endif

#ifdef NO_CLAIM_ID
#define RESET_ID
#define OWN_CLAIM_WON \
  (myId > 0 && claimId > 0 && claimId <= myId && claim > readClaim)
#else
#define RESET_ID myId = 0;
#define OWN_CLAIM_WON (claimId == myId)
#endif

/* Discards what a holder or claimant knew. A follower reads the log again. */
#define RESET_TO_FOLLOWER \
  RESET_ID fence = 0; validUntil = 0; confirmedRenewals = 0; \
  renewing = false; sentAt = 0; \
  readClaim = claim; readRenewals = renewals; readReleased = released; \
  seenAt = now

active [CANDIDATES] proctype Candidate()
{
  mtype:authority state = follower;
  byte myId = 0;
  byte readClaim = 0, readRenewals = 0, seenAt = 0;
  bool readReleased = false;
  byte sentAt = 0, fence = 0, validUntil = 0, confirmedRenewals = 0;
  bool renewing = false;
  bool leaseChecked = false;
end:
  do
  /* The candidate reads the log to its end. */
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
  :: atomic { state == claiming && OWN_CLAIM_WON ->
      step(state, claiming, won, holding);
      fence = claim; validUntil = sentAt + LEASE;
      readClaim = 0; readRenewals = 0; readReleased = false; seenAt = 0;
      sentAt = 0 }
  :: atomic { state == claiming -> step(state, claiming, lost, follower);
      RESET_TO_FOLLOWER }

  :: atomic { state == holding && !renewing && renewalsSent < MAX_RENEWALS &&
              nfull(toLog) && now < validUntil ->
      renewalsSent++;
      sentAt = now; renewing = true;
      toLog ! renewalRecord, 0, fence, 0 }
  :: atomic { state == holding && renewing && claim == fence &&
              renewals > confirmedRenewals ->
      step(state, holding, renewed, holding);
      confirmedRenewals = renewals; renewing = false;
      validUntil = sentAt + LEASE; sentAt = 0 }
  :: atomic { state == lapsed && renewing && claim == fence &&
              renewals > confirmedRenewals && now < sentAt + LEASE ->
      step(state, lapsed, renewed, holding);
      confirmedRenewals = renewals; renewing = false;
      validUntil = sentAt + LEASE; sentAt = 0 }

  /* The holder checks its lease before it sends an order. A kernel timer kills
   * a process that pauses until after the end of its lease, so that no order is
   * sent then, although the check and the send are separate steps. */
  :: atomic { state == holding && !leaseChecked && now < validUntil ->
      leaseChecked = true }
  :: atomic { leaseChecked && MAY_SEND && nfull(toBackend) &&
              ordersSent < MAX_ORDERS ->
      toBackend ! fence, now; ordersSent++; leaseChecked = false }
  :: atomic { leaseChecked -> leaseChecked = false }

  :: atomic { state == holding && !leaseChecked && now >= validUntil ->
      step(state, holding, lapse, lapsed) }
  :: atomic { state == holding && !leaseChecked && claim != fence ->
      step(state, holding, superseded, follower); RESET_TO_FOLLOWER }
  :: atomic { state == lapsed && claim != fence ->
      step(state, lapsed, superseded, follower); RESET_TO_FOLLOWER }
  /* The holder resigns only while none of its orders is in flight. */
  :: atomic { state == holding && !leaseChecked && empty(toBackend) &&
              nfull(toLog) ->
      toLog ! releaseRecord, 0, fence, 0;
      step(state, holding, release, follower); RESET_TO_FOLLOWER }
  :: atomic { state == lapsed && empty(toBackend) && nfull(toLog) ->
      toLog ! releaseRecord, 0, fence, 0;
      step(state, lapsed, release, follower); RESET_TO_FOLLOWER }
  od
}
