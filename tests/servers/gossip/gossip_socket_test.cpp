#include "servers/gossip/gossip_socket.h"

#include <array>
#include <charconv>
#include <csignal>
#include <string>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

#include "tests/helpers/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::GossipSocket;
using firefly::Instant;
using firefly::MakePeerAddress;
using firefly::testing::RunUntil;

namespace {

constexpr std::uint16_t kPort = 27451;
const std::string kReceiver = "127.0.2.1";
const std::string kSender = "127.0.2.2";
constexpr int kDatagrams = 150; // more than are read in a row

std::int64_t
Nanoseconds(Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

// What a receiver reports for a datagram: its number, and the last instant at
// which the socket was empty.
struct Report
{
  std::int64_t number = 0;
  std::int64_t emptyAt = 0;
};

// Receives datagrams that consist of a number and writes a report for each to
// the pipe, and one with a negative number when it has started.
[[noreturn]] void
RunReceiver(int aPipe)
{
  AsioExecutor executor;
  GossipSocket socket(executor);
  const auto report = [&](std::int64_t aNumber) {
    const Report it{ .number = aNumber,
                     .emptyAt = Nanoseconds(socket.EmptyAt()) };
    if (write(aPipe, &it, sizeof(it)) != sizeof(it)) {
      _exit(1);
    }
  };
  const auto opened = socket.Open(kReceiver, kPort, [&](std::string_view aIt) {
    std::int64_t number = 0;
    std::from_chars(aIt.data(), aIt.data() + aIt.size(), number);
    report(number);
  });
  if (!opened) {
    _exit(1);
  }
  socket.CheckPeriodically(1ms);
  report(-1);
  executor.Run();
  _exit(0);
}

} // namespace

TEST_GROUP(GossipSocketTest)
{
  AsioExecutor executor;
  GossipSocket sender{ executor };
  pid_t child = 0;

  void setup() override
  {
    CHECK_TRUE(sender.Open(kSender, kPort, [](std::string_view /*aBytes*/) {})
                 .has_value());
  }

  // Ends the child process, also if a check has failed.
  void teardown() override
  {
    if (child > 0) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  }

  // Sends numbered datagrams and returns when each was sent.
  std::vector<std::int64_t> SendDatagrams()
  {
    std::vector<std::int64_t> sentAt;
    for (int i = 0; i < kDatagrams; ++i) {
      sentAt.push_back(Nanoseconds(executor.Now()));
      sender.Send(MakePeerAddress(kReceiver, kPort), std::to_string(i));
    }
    return sentAt;
  }
};

// A relay that was stopped takes what waited in its socket for news and runs
// requests with keys that were revoked meanwhile. Holds at any speed of the
// machine: an instant is compared with earlier ones only.
TEST(GossipSocketTest, DatagramsThatWaitedInAStoppedProcessDoNotSeemNew)
{
  std::array<int, 2> ends{};
  LONGS_EQUAL(0, pipe(ends.data()));
  child = fork();
  if (child == 0) {
    RunReceiver(ends[1]);
  }
  close(ends[1]);
  Report report;
  LONGS_EQUAL(sizeof(report), read(ends[0], &report, sizeof(report)));
  LONGS_EQUAL(-1, report.number);
  LONGS_EQUAL(0, kill(child, SIGSTOP));
  int status = 0;
  LONGS_EQUAL(child, waitpid(child, &status, WUNTRACED));
  CHECK_TRUE(WIFSTOPPED(status));
  const auto sentAt = SendDatagrams();
  LONGS_EQUAL(0, kill(child, SIGCONT));
  for (int i = 0; i < kDatagrams; ++i) {
    LONGS_EQUAL(sizeof(report), read(ends[0], &report, sizeof(report)));
    LONGS_EQUAL(i, report.number);
    CHECK_TRUE(report.emptyAt <= sentAt[static_cast<std::size_t>(i)]);
    CHECK_TRUE(report.emptyAt <= sentAt[0]);
  }
  close(ends[0]);
}

// Guards against an instant that stays in the past once the socket is empty,
// which would reject all authenticated requests.
TEST(GossipSocketTest, AnEmptySocketIsNoticedWithoutDatagrams)
{
  GossipSocket receiver(executor);
  int received = 0;
  CHECK_TRUE(
    receiver.Open(kReceiver, kPort, [&](std::string_view) { received++; })
      .has_value());
  SendDatagrams();
  CHECK_TRUE(RunUntil(executor, [&] { return received == kDatagrams; }));
  receiver.CheckPeriodically(1ms);
  const auto now = executor.Now();
  CHECK_TRUE(RunUntil(executor, [&] { return receiver.EmptyAt() > now; }));
}
