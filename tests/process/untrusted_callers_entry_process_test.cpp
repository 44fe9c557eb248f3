// Callers that nobody controls send bodies to firefly-entry and to the status
// port of firefly-relay, whose processes have the memory of a small host.
// Checks that the process lives, that its memory and its descriptors stay under
// the host's limits, and that an ordinary request is answered while the callers
// hold their connections and after they have left.

#include <functional>
#include <memory>
#include <sstream>
#include <string>

#include "servers/http1/message_writer.h"
#include "tests/helpers/raw_callers.h"
#include "tests/helpers/raw_tcp_client.h"
#include "tests/process/deployment.h"

#include <CppUTest/TestHarness.h>

using firefly::ComposeChunk;
using firefly::testing::BlockingHttp;
using firefly::testing::ChildProcess;
using firefly::testing::CompletionBody;
using firefly::testing::Crowd;
using firefly::testing::Deployment;
using firefly::testing::FindFreePort;
using firefly::testing::LoopbackUrl;
using firefly::testing::RawCaller;
using firefly::testing::RawTcpClient;
using firefly::testing::SendChunks;
using firefly::testing::SendPieces;
using firefly::testing::TemporaryDirectory;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
// The smallest host of the users' deployments has 120 MB.
constexpr std::size_t kHostMemory = 120 * kMegabyte;
constexpr std::size_t kHostDescriptors = 400;
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
// Their bodies take more memory than the host has.
constexpr int kCallers = 40;
// Callers that hold connections take more descriptors than the process has.
constexpr int kIdleCallers = 600;
// The caller leaves out this many bytes at the end of its body.
constexpr std::size_t kMissingBytes = 10;

std::vector<std::string>
HostLimits()
{
  return { "--data=" + std::to_string(kHostMemory),
           "--nofile=" + std::to_string(kHostDescriptors) };
}

std::string
MakeHead(const std::string& aFraming)
{
  return "POST /v1/completions HTTP/1.1\r\nHost: h.example\r\n"
         "Content-Type: application/json\r\n" +
         aFraming + "\r\n\r\n";
}

std::string
MakeAnnouncedHead(std::size_t aBytes)
{
  return MakeHead("Content-Length: " + std::to_string(aBytes));
}

std::string
MakeChunkedHead()
{
  return MakeHead("Transfer-Encoding: chunked");
}

// A process under test and what an ordinary caller asks of it.
struct Target
{
  ChildProcess* process = nullptr;
  std::uint16_t port = 0;
  BlockingHttp* http = nullptr;
  std::function<bool()> isOrdinaryRequestServed;
};

void
CheckProcess(const Target& aTarget)
{
  CHECK_TRUE_TEXT(aTarget.process->IsRunning(), "the process has ended");
  const auto peak = aTarget.process->PeakMemoryBytes();
  const auto text = "peak " + std::to_string(peak >> 20U) + " MB";
  CHECK_TRUE_TEXT(peak > 0 && peak <= kHostMemory, text.c_str());
  CHECK_TRUE(aTarget.process->OpenDescriptors() < kHostDescriptors);
}

void
CheckOrdinaryRequest(const Target& aTarget, const char* aText)
{
  CHECK_TRUE_TEXT(aTarget.http->RunUntil([&] {
    return aTarget.isOrdinaryRequestServed() || !aTarget.process->IsRunning();
  }),
                  aText);
  CheckProcess(aTarget);
}

// Lets the callers run and checks the process while they hold their connections
// and after they have left.
void
Withstands(const Target& aTarget, int aCallers, const Crowd::Script& aScript)
{
  CHECK_TRUE(aTarget.isOrdinaryRequestServed());
  Crowd crowd(aTarget.port, aCallers, aScript);
  aTarget.http->RunUntil([&] {
    return crowd.Settled() == aCallers || !aTarget.process->IsRunning();
  });
  CheckProcess(aTarget);
  CheckOrdinaryRequest(aTarget,
                       "no ordinary request was served beside the callers");
  crowd.Leave();
  CheckOrdinaryRequest(aTarget,
                       "no ordinary request was served after the callers");
}

void
AnnounceAndStopShort(RawCaller& aCaller, int /*aNumber*/)
{
  aCaller.Send(MakeAnnouncedHead(kMaxBodyBytes));
  SendPieces(aCaller, kMaxBodyBytes - kMissingBytes, kMaxBodyBytes);
}

// Between the stated limit and the one at which RESTinio closes the connection.
void
AnnounceThriceTheLimitAndStopShort(RawCaller& aCaller, int /*aNumber*/)
{
  aCaller.Send(MakeAnnouncedHead(3 * kMaxBodyBytes));
  SendPieces(aCaller, 3 * kMaxBodyBytes - kMissingBytes, kMaxBodyBytes);
}

void
SendVerySmallChunksAndStopShort(RawCaller& aCaller, int /*aNumber*/)
{
  constexpr std::size_t kChunk = 16;
  aCaller.Send(MakeChunkedHead());
  SendChunks(aCaller, kMaxBodyBytes - kMissingBytes, kChunk);
}

// A list of chunks takes more memory than such a body.
void
SendChunksOfOneByte(RawCaller& aCaller, int /*aNumber*/)
{
  aCaller.Send(MakeChunkedHead());
  SendChunks(aCaller, kMaxBodyBytes - kMissingBytes, 1);
}

void
SendFarOverTheLimit(RawCaller& aCaller, int aNumber)
{
  constexpr std::size_t kFarOver = 256 * kMegabyte;
  constexpr std::size_t kChunk = 64U << 10U;
  if (aNumber % 2 == 0) {
    aCaller.Send(MakeAnnouncedHead(kFarOver));
    SendPieces(aCaller, kFarOver, kChunk);
  } else {
    aCaller.Send(MakeChunkedHead());
    SendChunks(aCaller, kFarOver, kChunk);
  }
}

// Whether a complete body of the largest size, in very small chunks, gets a
// response with that status.
bool
AnswersBodyInVerySmallChunks(const Target& aTarget, const std::string& aStatus)
{
  constexpr std::size_t kChunk = 16;
  auto body = CompletionBody("p", 2, false);
  body.resize(kMaxBodyBytes, ' ');
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += kChunk) {
    chunks += ComposeChunk(body.substr(i, kChunk));
  }
  RawTcpClient client(aTarget.http->Executor(), aTarget.port);
  client.Send(MakeChunkedHead() + chunks + "0\r\n\r\n");
  aTarget.http->RunUntil(
    [&] { return client.HasReceived("\r\n\r\n") || client.IsClosed(); });
  CheckProcess(aTarget);
  return client.Received().starts_with("HTTP/1.1 " + aStatus);
}

// More connections than the process has descriptors, most without a request.
void
SendNothingOrHalfAHead(RawCaller& aCaller, int aNumber)
{
  const auto head = MakeAnnouncedHead(4);
  aCaller.Send(head.substr(0, aNumber % 3 == 0 ? head.size() / 2 : 0));
}

} // namespace

TEST_GROUP(UntrustedCallersEntryProcessTest)
{
  Deployment deployment{ { .tokenMillis = "1",
                           .entrySettings = "max_body_bytes = " +
                                            std::to_string(kMaxBodyBytes),
                           .entryLimits = HostLimits() } };

  void setup() override
  {
    CHECK_TRUE(deployment.IsReady());
  }

  int Complete(const std::string& aBody)
  {
    return deployment.Http()
      .SendRequest("POST",
                   deployment.EntryUrl(0) + "/v1/completions",
                   aBody,
                   { { "Content-Type", "application/json" } })
      .status;
  }

  Target Entry()
  {
    const auto url = deployment.EntryUrl(0);
    return { .process = &deployment.Entry(0),
             .port = static_cast<std::uint16_t>(
               std::stoi(url.substr(url.rfind(':') + 1))),
             .http = &deployment.Http(),
             .isOrdinaryRequestServed = [this] {
               return Complete(CompletionBody("p", 2, false)) == 200;
             } };
  }
};

TEST(UntrustedCallersEntryProcessTest, ServesASingleBodyOfTheLargestSize)
{
  auto body = CompletionBody("p", 2, false);
  body.resize(kMaxBodyBytes, ' ');
  LONGS_EQUAL(200, Complete(body));
  CheckProcess(Entry());
}

// The list of its chunks must not count as a body over the limit.
TEST(UntrustedCallersEntryProcessTest, ServesASingleBodyInVerySmallChunks)
{
  CHECK_TRUE(AnswersBodyInVerySmallChunks(Entry(), "200"));
}

TEST(UntrustedCallersEntryProcessTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
  Withstands(Entry(), kCallers, AnnounceAndStopShort);
}

TEST(UntrustedCallersEntryProcessTest, BodiesOfThriceTheLimitThatStopShort)
{
  Withstands(Entry(), kCallers, AnnounceThriceTheLimitAndStopShort);
}

TEST(UntrustedCallersEntryProcessTest, BodiesInVerySmallChunksThatStopShort)
{
  Withstands(Entry(), kCallers, SendVerySmallChunksAndStopShort);
}

TEST(UntrustedCallersEntryProcessTest, TwoBodiesInChunksOfOneByte)
{
  Withstands(Entry(), 2, SendChunksOfOneByte);
}

// Each body is complete and its request is answered.
TEST(UntrustedCallersEntryProcessTest, WholeBodiesOfTheLargestSizeAtOnce)
{
  auto body = CompletionBody("p", 2, false);
  body.resize(kMaxBodyBytes, ' ');
  Withstands(Entry(), kCallers, [&](RawCaller& aCaller, int /*aNumber*/) {
    aCaller.Send(MakeAnnouncedHead(body.size()) + body);
  });
}

TEST(UntrustedCallersEntryProcessTest, BodiesFarOverTheLimit)
{
  Withstands(Entry(), kCallers, SendFarOverTheLimit);
}

TEST(UntrustedCallersEntryProcessTest, ConnectionsThatSendNothingOrHalfAHead)
{
  Withstands(Entry(), kIdleCallers, SendNothingOrHalfAHead);
}

// The relay needs no store for its status port.
TEST_GROUP(UntrustedCallersStatusProcessTest)
{
  BlockingHttp http;
  TemporaryDirectory directory;
  std::uint16_t callersPort = FindFreePort();
  std::uint16_t statusPort = FindFreePort();
  std::unique_ptr<ChildProcess> relay;

  bool IsAlive()
  {
    return http.Succeeds(LoopbackUrl(statusPort) + "/livez");
  }

  void setup() override
  {
    std::ostringstream settings;
    settings << "[host]\nid = \"relay-1\"\ndomain = \"a\"\ncallers = "
                "\"127.0.0.1:"
             << callersPort << "\"\nstatus = \"127.0.0.1:" << statusPort
             << "\"\n[peers]\nport = " << FindFreePort()
             << "\nfact_port = " << FindFreePort()
             << "\nseeds = []\n[log_service]\nurl = \"http://127.0.0.1:"
             << FindFreePort()
             << "\"\n[charts]\ndirectory = \"" FIREFLY_SOURCE_DIR
                "/charts\"\n[log]\nlevel = \"info\"\nlayout = \"json\"\n";
    auto arguments = HostLimits();
    arguments.emplace_back(FIREFLY_BINARY_DIR "/main/firefly-relay");
    arguments.emplace_back("--settings");
    arguments.push_back(directory.Write("relay.toml", settings.str()).string());
    relay = std::make_unique<ChildProcess>(
      ChildProcess::Options{ .program = "/usr/bin/prlimit",
                             .arguments = arguments,
                             .output = directory.Path() / "relay.log" });
    CHECK_TRUE(http.RunUntil([&] { return IsAlive(); }));
  }

  Target StatusPort()
  {
    return { .process = relay.get(),
             .port = statusPort,
             .http = &http,
             .isOrdinaryRequestServed = [this] { return IsAlive(); } };
  }
};

// It is read whole, although the path is unknown.
TEST(UntrustedCallersStatusProcessTest, AnswersASingleBodyInVerySmallChunks)
{
  CHECK_TRUE(AnswersBodyInVerySmallChunks(StatusPort(), "404"));
}

TEST(UntrustedCallersStatusProcessTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
  Withstands(StatusPort(), kCallers, AnnounceAndStopShort);
}

TEST(UntrustedCallersStatusProcessTest, BodiesInVerySmallChunksThatStopShort)
{
  Withstands(StatusPort(), kCallers, SendVerySmallChunksAndStopShort);
}

TEST(UntrustedCallersStatusProcessTest, TwoBodiesInChunksOfOneByte)
{
  Withstands(StatusPort(), 2, SendChunksOfOneByte);
}

TEST(UntrustedCallersStatusProcessTest, BodiesFarOverTheLimit)
{
  Withstands(StatusPort(), kCallers, SendFarOverTheLimit);
}

TEST(UntrustedCallersStatusProcessTest, ConnectionsThatSendNothingOrHalfAHead)
{
  Withstands(StatusPort(), kIdleCallers, SendNothingOrHalfAHead);
}

// RESTinio accepts no connection any more after one that it could not accept.
TEST(UntrustedCallersStatusProcessTest, AnswersAfterTheLastDescriptorWasTaken)
{
  Crowd crowd(callersPort, kIdleCallers, SendNothingOrHalfAHead);
  http.RunUntil([&] { return crowd.Settled() == kIdleCallers; });
  // Connects while the process may have no descriptor left.
  Crowd watchers(statusPort, 1, [](RawCaller& aCaller, int /*aNumber*/) {
    aCaller.Send("GET /livez HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  http.RunUntil([&] { return watchers.Settled() == 1; });
  http.RunFor(std::chrono::milliseconds(200));
  watchers.Leave();
  crowd.Leave();
  CheckOrdinaryRequest(StatusPort(), "the status port accepts no connection");
}
