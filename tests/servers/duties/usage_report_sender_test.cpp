#include "servers/duties/usage_report_sender.h"

#include <memory>
#include <optional>

#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "tests/servers/duties/fake_duty_api.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::DutyOutcome;
using firefly::DutyToken;
using firefly::HostId;
using firefly::Timer;
using firefly::UsageReportSender;
using firefly::VirtualExecutor;
using firefly::coord::FakeLog;
using firefly::coord::FakeProcess;
using firefly::coord::StreamName;
using firefly::policy::UsageReport;
using firefly::policy::UsageWindow;
using firefly::testing::FakeDutyApi;

namespace {

const StreamName kUsage("usage");

// A process that may hold the duties; the counts of its windows differ from
// those of other processes.
struct Host
{
  Host(VirtualExecutor& aExecutor,
       FakeLog& aLog,
       FakeDutyApi& aApi,
       const std::string& aName,
       std::uint64_t aCount)
    : count(aCount)
    , process(aExecutor)
    , client(aApi, process)
    , sender({ .host = HostId(aName) },
             { .executor = &process,
               .log = &aLog.MakeClient(aName, process),
               .client = &client,
               .held = [this] { return token; },
               .onRejected = [this] { token.reset(); },
               .firstAfter = [this](std::optional<UsageWindow> aWindow)
                 -> const UsageReport* {
                 const auto next = aWindow ? *aWindow + 1 : UsageWindow(100);
                 report = { .window = next,
                            .counts = { { CustomerId("c"), count } } };
                 return next <= lastClosed ? &report : nullptr;
               },
               .onOutcome = [](DutyOutcome) {} })
  {
    Tick();
  }

  void Tick()
  {
    sender.Tick();
    timer = process.RunAfter(500ms, [this] { Tick(); });
  }

  std::uint64_t count;
  std::optional<DutyToken> token;
  UsageWindow lastClosed{ 100 };
  UsageReport report;
  FakeProcess process;
  FakeDutyApi::Client client;
  UsageReportSender sender;
  Timer timer;
};

} // namespace

TEST_GROUP(UsageReportSenderTest)
{
  VirtualExecutor executor;
  FakeLog log{ {}, executor };
  FakeDutyApi api{ 1, executor };
  std::unique_ptr<Host> a = std::make_unique<Host>(executor, log, api, "a", 1);
  std::unique_ptr<Host> b = std::make_unique<Host>(executor, log, api, "b", 2);

  // Returns the count that was reported for the window, or 0.
  std::uint64_t Reported(std::uint64_t aWindow)
  {
    std::uint64_t count = 0;
    for (const auto& it : api.calls) {
      if (it.report.window.Value() == aWindow) {
        const auto reported = it.report.counts.at(CustomerId("c"));
        CHECK_TRUE(count == 0 || count == reported);
        count = reported;
      }
    }
    return count;
  }
};

// A report that is sent before it is recorded can be followed by one with other
// counts.
TEST(UsageReportSenderTest, SendsNothingThatItCannotRecord)
{
  log.SetDown(true);
  a->token = DutyToken(1);
  executor.RunFor(10s);
  LONGS_EQUAL(0, api.received);
  log.SetDown(false);
  executor.RunFor(3s);
  LONGS_EQUAL(1, Reported(100));
}

// A holder that is killed between recording and sending leaves a report that
// nobody sent; the next one must send it as it was recorded.
TEST(UsageReportSenderTest, SuccessorSendsTheRecordedReportUnchanged)
{
  api.noAnswer = 1;
  a->token = DutyToken(1);
  while (log.Appends() == 0) {
    executor.RunOne();
  }
  a->process.Kill();
  executor.RunFor(10s);
  LONGS_EQUAL(0, api.received);
  api.noAnswer = 0;
  b->token = DutyToken(2);
  b->lastClosed = UsageWindow(101);
  executor.RunFor(3s);
  LONGS_EQUAL(1, Reported(100));
  LONGS_EQUAL(2, Reported(101));
}

// The record of a former holder may reach the stream after its successor has
// read it and just before the successor's own.
TEST(UsageReportSenderTest, TakesALateRecordThatPrecedesItsOwn)
{
  a->lastClosed = b->lastClosed = UsageWindow(99);
  b->token = DutyToken(2);
  executor.RunFor(3s); // has read the empty stream
  a->token = DutyToken(1);
  executor.RunFor(3s);
  a->lastClosed = UsageWindow(100);
  a->sender.Tick(); // the record of a is on its way
  a->process.Kill();
  b->lastClosed = UsageWindow(100);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(100));
}

// Reports of an outage longer than the records that a new holder reads first
// would otherwise be lost.
TEST(UsageReportSenderTest, SuccessorResendsAllReportsOfALongOutage)
{
  api.noAnswer = 1;
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(299);
  executor.RunFor(60s);
  a->process.Kill();
  const auto before = api.received;
  b->token = DutyToken(2);
  executor.RunFor(10s);
  // While the API does not answer, it gets at most one call a second.
  CHECK_TRUE(api.received - before <= 10);
  executor.RunFor(10s); // late calls of the outage
  api.noAnswer = 0;
  executor.RunFor(30s);
  for (std::uint64_t window = 100; window <= 299; ++window) {
    LONGS_EQUAL(1, Reported(window));
  }
  LONGS_EQUAL(0, b->sender.Unanswered());
}

// A call with a rejected token must not be repeated with it.
TEST(UsageReportSenderTest, StopsWithARejectedToken)
{
  b->token = DutyToken(2);
  executor.RunFor(3s);
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(101);
  executor.RunFor(5s);
  CHECK_FALSE(a->token.has_value());
  LONGS_EQUAL(2, Reported(100));
  int rejected = 0;
  for (const auto& it : api.calls) {
    rejected += it.isAccepted ? 0 : 1;
  }
  LONGS_EQUAL(1, rejected);
}

// Calls that go on at the same rate keep the API over its limit.
TEST(UsageReportSenderTest, BacksOffWhenCallsAreTooMany)
{
  api.tooMany = 1;
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(130);
  executor.RunFor(31s);
  CHECK_TRUE(api.received >= 4);
  CHECK_TRUE(api.received <= 7);
  api.tooMany = 0;
  executor.RunFor(20s);
  LONGS_EQUAL(1, Reported(130));
}

// Guards against a window that is reported with two contents because the log
// has lost its record.
TEST(UsageReportSenderTest,
     ReportsThatARestoredLogLacksAreRecordedAgainUnchanged)
{
  const auto copy = log.MakeCopy();
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(102);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(102));
  log.Restore(copy);
  a->sender.OnLogRestored(true);
  b->lastClosed = UsageWindow(102);
  b->sender.OnLogRestored(false);
  a->token.reset();
  executor.RunFor(1s);
  // Its own counts of a window may have changed meanwhile.
  a->count = 7;
  a->token = DutyToken(2);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(101));
  LONGS_EQUAL(3, log.Records(StreamName("usage")).size());
}

TEST(UsageReportSenderTest, AnotherHolderLeavesOutWhatMayHaveBeenReported)
{
  const auto copy = log.MakeCopy();
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(102);
  executor.RunFor(5s);
  a->process.Kill();
  log.Restore(copy);
  b->lastClosed = UsageWindow(102);
  b->sender.OnLogRestored(false);
  b->lastClosed = UsageWindow(103);
  b->token = DutyToken(2);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(102));
  LONGS_EQUAL(2, Reported(103));
}

// Guards against a window that is reported with two contents because its record
// has expired: the next holder has counts of its own.
TEST(UsageReportSenderTest, AnotherHolderLeavesOutWindowsWhoseRecordsExpired)
{
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(102);
  executor.RunFor(5s);
  a->process.Kill();
  log.Trim(kUsage, log.End(kUsage));
  b->lastClosed = UsageWindow(102);
  b->token = DutyToken(2);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(102));
  b->lastClosed = UsageWindow(103);
  executor.RunFor(5s);
  LONGS_EQUAL(2, Reported(103));
}

// Guards against a former holder that records only its oldest report again: the
// next holder would take the later ones for reports that nobody made.
TEST(UsageReportSenderTest, ExpiredRecordsAreWrittenAgainTogether)
{
  a->token = DutyToken(1);
  a->lastClosed = UsageWindow(103);
  executor.RunFor(5s);
  a->token.reset();
  executor.RunFor(1s);
  log.Trim(kUsage, log.End(kUsage));
  a->token = DutyToken(2);
  const auto appends = log.Appends();
  while (log.Appends() == appends) {
    executor.RunOne();
  }
  a->process.Kill();
  LONGS_EQUAL(4, log.Records(kUsage).size());
  b->lastClosed = UsageWindow(104);
  b->token = DutyToken(3);
  executor.RunFor(5s);
  LONGS_EQUAL(1, Reported(103));
  LONGS_EQUAL(2, Reported(104));
}
