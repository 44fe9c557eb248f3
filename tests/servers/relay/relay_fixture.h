#pragma once

// A relay between a raw caller and scripted backend servers on loopback, with
// the dialect of the users' platform.

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_dialect.h"
#include "servers/http1/message_writer.h"
#include "servers/relay/relay.h"
#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

namespace firefly::testing {

using namespace std::chrono_literals;

inline const std::string kStamp = "Fireflyrouter-Response-Stamp: s1\r\n";

inline policy::Route
MakeRoute(const std::string& aPrefix,
          policy::RouteKind aKind,
          std::uint32_t aAttempts,
          const std::string& aService = "desk")
{
  policy::Route route;
  route.name = "r" + aPrefix;
  route.host = "h.example";
  route.pathPrefix = aPrefix;
  route.kind = aKind;
  route.timeout = 700ms;
  route.lateAfter = 600ms;
  route.maxAttempts = aAttempts;
  route.targets = { { .service = ServiceId(aService) } };
  return route;
}

inline std::string
MakeGet(const std::string& aTarget, const std::string& aMore = "")
{
  return "GET " + aTarget +
         " HTTP/1.1\r\nHost: h.example\r\n"
         "Fireflyrouter-Request-Id: q1\r\n"
         "Fireflyrouter-Deadline-Ms: 5000\r\n" +
         aMore + "\r\n";
}

inline std::string
MakePromptRequest(const std::string& aTarget)
{
  return MakeGet(aTarget,
                 "Fireflyrouter-Model: m\r\n"
                 "Fireflyrouter-Token-Count: 9000,80\r\n"
                 "Fireflyrouter-Prompt-Prefix: a1:6000,b2:3000\r\n");
}

inline std::string
MakeAnswer(int aStatus,
           const std::string& aBody,
           const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
MakeStream(const std::string& aEvents, bool aIsComplete)
{
  return "HTTP/1.1 200 OK\r\n" + kStamp +
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         ComposeChunk(aEvents) + (aIsComplete ? std::string(LastChunk()) : "");
}

inline bool
HasHeader(const ScriptedRequest& aRequest, std::string_view aName)
{
  return !FindHeader(aRequest.head.headers, aName).empty();
}

struct RelayFixture : public Utest
{
  AsioExecutor executor;
  const KeyHasher keyHasher = *KeyHasher::Create();
  platform::PlatformDialect dialect{ keyHasher };
  // Requests that backend servers began to run.
  int started = 0;
  MetricRegistry registry;
  RelayMetrics metrics{ registry };
  policy::FleetView fleet;
  RoutingTableReplica routing;
  BackendPool pool{ executor, {} };
  BackendRegistry backendRegistry{ {}, executor, fleet, pool };
  policy::StreamOriginTracker streamOrigins;
  Relay relay{
    { .self = HostId("self"), .incarnation = Incarnation(1) },
    { .executor = &executor,
      .dialect = &dialect,
      .pool = &pool,
      .backendRegistry = &backendRegistry,
      .fleet = &fleet,
      .routing = &routing,
      .metrics = &metrics,
      .streamOrigins = &streamOrigins,
      .awaitBackends =
        [this](Instant aAsOf, std::function<void()> aDone) {
          awaitBackends(aAsOf, std::move(aDone));
        },
      .tableConfirmedAt = [this] { return std::optional(executor.Now()); },
      .onRequestStarted = [this](const CustomerId&) { started++; } }
  };
  CallerServer callers{ executor, {}, relay };
  std::unique_ptr<ScriptedBackend> first;
  std::unique_ptr<ScriptedBackend> second;
  // Reads the log of the backend servers up to the instant.
  std::function<void(Instant, std::function<void()>)> awaitBackends =
    [this](Instant aAsOf, std::function<void()> aDone) {
      executor.Post([this, aAsOf, done = std::move(aDone)] {
        ConfirmBackends(aAsOf);
        done();
      });
    };

  void setup() override
  {
    backendRegistry.ReportVersionsTo(streamOrigins);
    CHECK_TRUE(callers.Start().has_value());
  }

  void SetRoutingTable()
  {
    routing.UpdateIfNewer(
      policy::RoutingTable(
        { .version = policy::RoutingVersion(3),
          .routes = { MakeRoute("/book/", policy::RouteKind::kAtMostOnce, 1),
                      MakeRoute("/rebook/", policy::RouteKind::kAtMostOnce, 3),
                      MakeRoute("/look/", policy::RouteKind::kIdempotent, 2),
                      MakeRoute(
                        "/events/", policy::RouteKind::kResumableStream, 2),
                      MakeRoute("/ask/", policy::RouteKind::kStream, 1, "llm"),
                      MakeRoute("/resume/",
                                policy::RouteKind::kResumableStream,
                                2,
                                "llm") },
          .services = { { .id = ServiceId("desk") },
                        { .id = ServiceId("llm"),
                          .engine = policy::EngineTraits{} } },
          .limits = {} }),
      "test");
  }

  void Register(const std::string& aId,
                const ScriptedBackend& aBackend,
                std::optional<policy::EngineRole> aRole = {},
                const std::string& aVersion = "v1")
  {
    backendRegistry.Apply({ .id = BackendId(aId),
                            .service = ServiceId(aRole ? "llm" : "desk"),
                            .address = BackendAddress(aBackend.Address()),
                            .domain = {},
                            .slots = 8,
                            .version = aVersion,
                            .role = aRole,
                            .models = aRole ? std::vector<std::string>{ "m" }
                                            : std::vector<std::string>{} });
  }

  // Makes the relay know all changes of the backend servers up to the instant.
  void ConfirmBackends(Instant aAsOf)
  {
    streamOrigins.OnConfirmed(
      { .readAt = aAsOf, .unchangedUntil = aAsOf, .place = {} });
  }

  // Makes the relay know for the last minute which versions serve.
  void KnowVersions()
  {
    const auto now = executor.Now();
    for (auto at = now - 60s; at <= now; at += 1s) {
      ConfirmBackends(at);
    }
  }

  std::unique_ptr<ScriptedBackend> StartBackend(ScriptedBackend::Script aScript)
  {
    return std::make_unique<ScriptedBackend>(executor, std::move(aScript));
  }

  // Starts one backend server of the service "desk" that always sends this
  // reply.
  void StartDeskBackend(const ScriptedReply& aReply)
  {
    first = StartBackend([aReply](const ScriptedRequest&) { return aReply; });
    Register("b1", *first);
    SetRoutingTable();
  }

  void Await(const std::function<bool()>& aCondition)
  {
    CHECK_TRUE(RunUntil(executor, aCondition, std::chrono::seconds(10)));
  }
};

} // namespace firefly::testing
