/*
 * Models the graceful shutdown of an entry behind a load balancer, which learns
 * with a delay that the entry is not ready any more.
 *
 * Each of these defines removes a mechanism:
 *   EXIT_AT_ONCE     the process ends while requests are running
 *   NO_UNREADY_WAIT  the port is closed before the balancer has seen that the
 *                    entry is not ready
 */

#define MAX_REQUESTS 3

bool stopRequested = false; /* SIGTERM was received */
bool ready = true;
bool listening = true;
bool seenUnready = false; /* the balancer sends no more requests */
byte running = 0;
byte sent = 0;
byte answered = 0;

active proctype Operator()
{
  stopRequested = true
}

active proctype Balancer()
{
end:
  do
  :: atomic { !seenUnready && sent < MAX_REQUESTS ->
      /* Every request reaches an open port. */
      assert(listening);
      sent++; running++ }
  :: atomic { !ready && !seenUnready -> seenUnready = true }
  od
}

active proctype Entry()
{
  do
  :: stopRequested -> break
  :: atomic { running > 0 -> running--; answered++ }
  od;
  ready = false;
#ifndef NO_UNREADY_WAIT
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
  /* No request is aborted. */
  assert(running == 0 && answered == sent)
}
