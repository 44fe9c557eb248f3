/*
 * Models the staleness bound. The log acknowledges the revocation of a key at
 * some time. Relays read the log, and one of them sends the other the age of
 * its reads as datagrams. A relay runs a request with the key only while its
 * table is confirmed within the bound. Time advances in steps; a relay may be
 * stopped for any time between two of its steps, while datagrams wait in its
 * socket.
 *
 * Each of these defines removes a mechanism:
 *   NO_EMPTY_SOCKET  an age counts from the receipt of the datagram
 *   ANSWER_CONFIRMS  a read confirms the instant of its answer
 *   GAP_CONFIRMS     a datagram confirms even if it leaves a gap
 *   NO_ALLOWANCE     the delay of the network is not subtracted
 *   NO_BOUND         a relay runs requests whatever the age of its table
 */

#define SENDER 0
#define RECEIVER 1
#define END 6     /* the last instant */
#define BOUND 2   /* the maximum age of a confirmation */
#define NETWORK 1 /* the maximum delay of a datagram */

#ifdef NO_BOUND
#define WITHIN_BOUND(me) (confirmedAt[me] > 0)
#else
#define WITHIN_BOUND(me) (confirmedAt[me] > 0 && now <= confirmedAt[me] + BOUND)
#endif

byte now = 1;
byte revokedAt = 0; /* 0: not yet */

/* By relay. */
bool knows[2];       /* the revocation */
byte confirmedAt[2]; /* 0: not yet */
byte readAt[2];      /* when the read in progress was sent; 0: none */
bool isAnswered[2];  /* the log has answered it */
bool answer[2];      /* whether its answer holds the revocation */

/* The receiver's socket, and the datagram in the network or in it. */
byte emptyAt = 1; /* when the socket was last known to be empty */
bool isSent;
bool isArrived;
byte sentAt;
byte age;
bool covers;   /* its read covers the revocation */
bool contains; /* it has the record of the revocation itself */

inline discardDatagram()
{
  isSent = false;
  isArrived = false;
  sentAt = 0;
  age = 0;
  covers = false;
  contains = false
}

inline confirm(me, instant)
{
  if
  :: instant > confirmedAt[me] -> confirmedAt[me] = instant
  :: else -> skip
  fi
}

active proctype Time()
{
end_time:
  do
  /* A datagram leaves the network in time. */
  :: atomic { now < END &&
      !(isSent && !isArrived && now >= sentAt + NETWORK) -> now++ }
  :: atomic { revokedAt == 0 -> revokedAt = now }
  :: atomic { isSent && !isArrived -> isArrived = true }
  :: atomic { isSent && !isArrived -> discardDatagram() } /* lost */
  /* The log answers a read; the answer may be in flight for any time. */
  :: atomic { readAt[0] > 0 && !isAnswered[0] ->
      isAnswered[0] = true; answer[0] = (revokedAt > 0) }
  :: atomic { readAt[1] > 0 && !isAnswered[1] ->
      isAnswered[1] = true; answer[1] = (revokedAt > 0) }
  od
}

active [2] proctype Relay()
{
  byte me = _pid - 1;
  byte instant = 0;
end_relay:
  do
  :: atomic { readAt[me] == 0 -> readAt[me] = now }
  :: atomic { isAnswered[me] ->
      if
      :: me == SENDER && !isSent ->
        isSent = true;
        sentAt = now;
        age = now - readAt[me];
        covers = answer[me];
        /* A read that found nothing new begins after the record. */
        contains = answer[me] && !knows[me]
      :: true -> skip
      fi;
      knows[me] = knows[me] || answer[me];
#ifdef ANSWER_CONFIRMS
      confirm(me, now);
#else
      confirm(me, readAt[me]);
#endif
      readAt[me] = 0;
      isAnswered[me] = false;
      answer[me] = false }
  /* The socket is read and would block. */
  :: atomic { me == RECEIVER && !isArrived && emptyAt < now -> emptyAt = now }
  :: atomic { me == RECEIVER && isArrived ->
#ifdef NO_EMPTY_SOCKET
      instant = now;
#else
      instant = emptyAt;
#endif
#ifdef NO_ALLOWANCE
      instant = (instant > age -> instant - age : 0);
#else
      instant = (instant > age + NETWORK -> instant - age - NETWORK : 0);
#endif
      if
      :: contains -> knows[me] = true; confirm(me, instant)
#ifdef GAP_CONFIRMS
      :: !contains -> confirm(me, instant)
#else
      /* It is contiguous if it begins where this relay's records end. */
      :: !contains && covers == knows[me] -> confirm(me, instant)
      :: !contains && covers != knows[me] -> skip
#endif
      fi;
      instant = 0;
      discardDatagram() }
  /* A request with the revoked key, which its client sends now, is read. */
  :: atomic { !knows[me] && WITHIN_BOUND(me) ->
      /* It does not run later than the bound after the acknowledgement. */
      assert(revokedAt == 0 || now <= revokedAt + BOUND) }
  od
}
