// Callers that nobody controls send bodies to a relay whose process has the
// memory of a small host. Checks that the relay lives, that its memory and its
// descriptors stay under the host's limits, and that an ordinary request is
// answered while the callers hold their connections and after they have left.

#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

#include "servers/http1/message_writer.h"
#include "tests/helpers/raw_callers.h"
#include "tests/helpers/scripted_backend.h"
#include "tests/process/process_harness.h"
#include "tests/soak/fake_store.h"

#include <CppUTest/TestHarness.h>

using firefly::FindHeader;
using firefly::soak::FakeStore;
using firefly::testing::BlockingHttp;
using firefly::testing::ChildProcess;
using firefly::testing::Crowd;
using firefly::testing::FindFreePort;
using firefly::testing::LoopbackUrl;
using firefly::testing::RawCaller;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;
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

std::string
MakeHead(int aCaller, const std::string& aFraming)
{
  return "POST /book/" + std::to_string(aCaller) +
         " HTTP/1.1\r\nHost: h.example\r\nFireflyrouter-Request-Id: u" +
         std::to_string(aCaller) + "\r\nFireflyrouter-Deadline-Ms: 30000\r\n" +
         aFraming + "\r\n\r\n";
}

std::string
MakeAnnouncedHead(int aCaller, std::size_t aBytes)
{
  return MakeHead(aCaller, "Content-Length: " + std::to_string(aBytes));
}

std::string
MakeChunkedHead(int aCaller)
{
  return MakeHead(aCaller, "Transfer-Encoding: chunked");
}

} // namespace

TEST_GROUP(UntrustedCallersProcessTest)
{
  BlockingHttp http;
  FakeStore store{ http.Executor(), 1 };
  ScriptedBackend backend{ http.Executor(),
                           [](const ScriptedRequest& aRequest) {
                             return Answer(aRequest);
                           } };
  TemporaryDirectory directory;
  std::uint16_t callersPort = FindFreePort();
  std::uint16_t statusPort = FindFreePort();
  std::unique_ptr<ChildProcess> relay;
  int ordinaryRequests = 0;

  static ScriptedReply Answer(const ScriptedRequest& aRequest)
  {
    const std::string id(
      FindHeader(aRequest.head.headers, "Fireflyrouter-Request-Id"));
    return { .bytes = "HTTP/1.1 200 OK\r\nFireflyrouter-Response-Stamp: s1\r\n"
                      "Fireflyrouter-Request-Id: " +
                      id + "\r\nContent-Length: 6\r\n\r\nbooked" };
  }

  void setup() override
  {
    CHECK_TRUE(store.Start().has_value());
    PublishTable();
    StartRelay();
  }

  void PublishTable()
  {
    const nlohmann::json table{
      { "version", 1 },
      { "routes",
        { { { "name", "book" },
            { "host", "h.example" },
            { "pathPrefix", "/book/" },
            { "kind", "non_idempotent" },
            { "timeoutMs", 30000 },
            { "targetLatencyMs", 20000 },
            { "service", "desk" } } } },
      { "services", { { { "name", "desk" }, { "maxConns", 100 } } } },
      { "limits",
        { { "maxHeaderBytes", 16384 },
          { "maxBodyBytes", kMaxBodyBytes },
          { "headerTimeoutMs", 60000 },
          { "idleTimeoutMs", 60000 } } }
    };
    store.Put("keyed.op", "config", table.dump());
    const nlohmann::json record{ { "service", "desk" },
                                 { "address", backend.Address() },
                                 { "zone", "a" },
                                 { "slots", 64 },
                                 { "state", "ready" } };
    store.Put("keyed.servers", "desk-1", record.dump());
  }

  void StartRelay()
  {
    std::ostringstream settings;
    settings << "[host]\nid = \"relay-1\"\ndomain = \"a\"\ncallers = "
                "\"127.0.0.1:"
             << callersPort << "\"\nstatus = \"127.0.0.1:" << statusPort
             << "\"\n[peers]\nport = " << FindFreePort()
             << "\nfact_port = " << FindFreePort()
             << "\nseeds = []\n[log_service]\nurl = \"http://127.0.0.1:"
             << store.Port()
             << "\"\n[charts]\ndirectory = \"" FIREFLY_SOURCE_DIR
                "/charts\"\n[log]\nlevel = \"info\"\nlayout = \"json\"\n";
    const auto program =
      std::filesystem::path(FIREFLY_BINARY_DIR) / "main/firefly-relay";
    relay = std::make_unique<ChildProcess>(ChildProcess::Options{
      .program = "/usr/bin/prlimit",
      .arguments = { "--data=" + std::to_string(kHostMemory),
                     "--nofile=" + std::to_string(kHostDescriptors),
                     program.string(),
                     "--settings",
                     directory.Write("relay.toml", settings.str()).string() },
      .output = directory.Path() / "relay.log" });
    CHECK_TRUE(http.RunUntil(
      [&] { return http.Succeeds(LoopbackUrl(statusPort) + "/readyz"); }));
  }

  // Reads a number of kilobytes from the process's status; 0 if it has ended.
  std::size_t StatusBytes(const std::string& aName)
  {
    std::ifstream file("/proc/" + std::to_string(relay->Id()) + "/status");
    std::string word;
    while (file >> word) {
      std::size_t kilobytes = 0;
      if (word == aName + ":" && file >> kilobytes) {
        return kilobytes << 10U;
      }
    }
    return 0;
  }

  std::size_t OpenDescriptors()
  {
    std::error_code ec;
    const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(relay->Id()) + "/fd", ec);
    return ec ? 0
              : static_cast<std::size_t>(
                  std::distance(begin(files), end(files)));
  }

  bool IsOrdinaryRequestServed()
  {
    const auto id = "ordinary-" + std::to_string(++ordinaryRequests);
    const auto result =
      http.SendRequest("POST",
                       LoopbackUrl(callersPort) + "/book/" + id,
                       std::string(600, 'b'),
                       { { "Host", "h.example" },
                         { "Fireflyrouter-Request-Id", id },
                         { "Fireflyrouter-Deadline-Ms", "20000" } });
    return result.status == 200 && result.body == "booked";
  }

  void CheckRelay()
  {
    CHECK_TRUE_TEXT(relay->IsRunning(), "the relay has ended");
    const auto peak = StatusBytes("VmHWM");
    const auto text = "peak " + std::to_string(peak >> 20U) + " MB";
    CHECK_TRUE_TEXT(peak > 0 && peak <= kHostMemory, text.c_str());
    CHECK_TRUE(OpenDescriptors() < kHostDescriptors);
  }

  // Lets the callers run and checks the relay while they hold their
  // connections and after they have left.
  void Withstands(int aCallers, const Crowd::Script& aScript)
  {
    CHECK_TRUE(IsOrdinaryRequestServed());
    Crowd crowd(callersPort, aCallers, aScript);
    http.RunUntil(
      [&] { return crowd.Settled() == aCallers || !relay->IsRunning(); });
    CheckRelay();
    CHECK_TRUE_TEXT(http.RunUntil([&] {
      return IsOrdinaryRequestServed() || !relay->IsRunning();
    }),
                    "no ordinary request was served beside the callers");
    CheckRelay();
    crowd.Leave();
    CHECK_TRUE_TEXT(http.RunUntil([&] {
      return IsOrdinaryRequestServed() || !relay->IsRunning();
    }),
                    "no ordinary request was served after the callers");
    CheckRelay();
  }
};

TEST(UntrustedCallersProcessTest, ServesASingleBodyOfTheLargestSize)
{
  const auto result =
    http.SendRequest("POST",
                     LoopbackUrl(callersPort) + "/book/1",
                     std::string(kMaxBodyBytes, 'b'),
                     { { "Host", "h.example" },
                       { "Fireflyrouter-Request-Id", "large" },
                       { "Fireflyrouter-Deadline-Ms", "20000" } });
  LONGS_EQUAL(200, result.status);
  UNSIGNED_LONGS_EQUAL(kMaxBodyBytes, backend.Requests().back().body.size());
  CheckRelay();
}

TEST(UntrustedCallersProcessTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeAnnouncedHead(aNumber, kMaxBodyBytes));
    SendPieces(aCaller, kMaxBodyBytes - kMissingBytes, kMaxBodyBytes);
  });
}

TEST(UntrustedCallersProcessTest, AnnouncedBodiesInPiecesThatStopShort)
{
  constexpr std::size_t kPiece = 1000;
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeAnnouncedHead(aNumber, kMaxBodyBytes));
    SendPieces(aCaller, kMaxBodyBytes - kMissingBytes, kPiece);
  });
}

TEST(UntrustedCallersProcessTest, BodiesInLargeChunksThatStopShort)
{
  constexpr std::size_t kChunk = 256U << 10U;
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeChunkedHead(aNumber));
    SendChunks(aCaller, kMaxBodyBytes - kMissingBytes, kChunk);
  });
}

TEST(UntrustedCallersProcessTest, BodiesInVerySmallChunksThatStopShort)
{
  constexpr std::size_t kChunk = 16;
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeChunkedHead(aNumber));
    SendChunks(aCaller, kMaxBodyBytes - kMissingBytes, kChunk);
  });
}

TEST(UntrustedCallersProcessTest, WholeBodiesOfTheLargestSizeAtOnce)
{
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeAnnouncedHead(aNumber, kMaxBodyBytes));
    SendPieces(aCaller, kMaxBodyBytes, kMaxBodyBytes);
  });
}

TEST(UntrustedCallersProcessTest, BodiesFarOverTheLimit)
{
  constexpr std::size_t kFarOver = 256 * kMegabyte;
  constexpr std::size_t kChunk = 64U << 10U;
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    if (aNumber % 2 == 0) {
      aCaller.Send(MakeAnnouncedHead(aNumber, kFarOver));
      SendPieces(aCaller, kFarOver, kChunk);
    } else {
      aCaller.Send(MakeChunkedHead(aNumber));
      SendChunks(aCaller, kFarOver, kChunk);
    }
  });
}

// While a request is being answered, the bytes of the next ones are buffered.
TEST(UntrustedCallersProcessTest, FurtherRequestsSentBeforeTheAnswer)
{
  constexpr std::size_t kFurther = 8 * kMegabyte;
  Withstands(kCallers, [](RawCaller& aCaller, int aNumber) {
    aCaller.Send(MakeAnnouncedHead(aNumber, 4) + "abcd");
    for (std::size_t sent = 0; sent < kFurther; sent += kMaxBodyBytes) {
      aCaller.Send(MakeAnnouncedHead(aNumber, kMaxBodyBytes));
      SendPieces(aCaller, kMaxBodyBytes, kMaxBodyBytes);
    }
  });
}

// More connections than the process has descriptors, most without a request.
TEST(UntrustedCallersProcessTest, ConnectionsThatSendNothingOrHalfAHead)
{
  Withstands(kIdleCallers, [](RawCaller& aCaller, int aNumber) {
    const auto head = MakeAnnouncedHead(aNumber, 4);
    aCaller.Send(head.substr(0, aNumber % 3 == 0 ? head.size() / 2 : 0));
  });
}
