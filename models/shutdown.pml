/*
 * Graceful shutdown of an entry behind a balancer that learns late that the
 * entry is not ready any more.
 *
 * Mechanisms that a define takes away:
 *   EXIT_AT_ONCE   the process ends while requests run
 *   NO_LINGER      the port closes before the balancer has seen it unready
 */

#define MAX_REQUESTS 3

bool asked = false; /* SIGTERM came */
bool ready = true;
bool listening = true;
bool seenUnready = false; /* the balancer sends no more requests */
byte running = 0;
byte sent = 0;
byte answered = 0;

active proctype Operator()
{
  asked = true
}

active proctype Balancer()
{
end:
  do
  :: atomic { !seenUnready && sent < MAX_REQUESTS ->
      /* Reaches a port that is open. */
      assert(listening);
      sent++; running++ }
  :: atomic { !ready && !seenUnready -> seenUnready = true }
  od
}

active proctype Entry()
{
  do
  :: asked -> break
  :: atomic { running > 0 -> running--; answered++ }
  od;
  ready = false;
#ifndef NO_LINGER
  do
  :: seenUnready -> break
  :: atomic { running > 0 -> running--; answered++ }
  od;
#endif
  listening = false;
#ifndef EXIT_AT_ONCE
  do
  :: running == 0 -> break
  :: atomic { running > 0 -> running--; answered++ }
  od;
#endif
  /* No request is cut. */
  assert(running == 0 && answered == sent)
}
