// Tests the client for engines' orders and states before a scripted engine.

#include "servers/steward/engine_client.h"

#include <optional>
#include <string>

#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::CurlClient;
using firefly::EngineState;
using firefly::HttpEngineClient;
using firefly::testing::RunUntil;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

std::string
MakeStateAnswer(int aRunning)
{
  const auto body = R"({"role":"mixed","running":)" + std::to_string(aRunning) +
                    R"(,"changing":false})";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(EngineClientTest){};

// An engine sends its last report a second time where the next one is expected.
// Guards against a steward that takes an old state for the present one.
TEST(EngineClientTest, ALateCopyOfAStateIsNotThePresentOne)
{
  AsioExecutor executor;
  int running = 0;
  ScriptedBackend engine(
    executor, [&](const ScriptedRequest& aRequest) -> ScriptedReply {
      const bool isKept = running > 0 && aRequest.connection == 1;
      const auto copy = isKept ? MakeStateAnswer(running) : std::string();
      return { .bytes = copy + MakeStateAnswer(++running) };
    });
  CurlClient http(executor, {});
  HttpEngineClient client(http,
                          { .url = "http://" + engine.Address(),
                            .connectTimeout = 5s,
                            .requestTimeout = 5s });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    std::optional<EngineState> state;
    client.ReadState([&](const auto& aState) {
      CHECK_TRUE(aState.has_value());
      state = *aState;
    });
    CHECK_TRUE(RunUntil(executor, [&] { return state.has_value(); }));
    LONGS_EQUAL(i, state->running);
  }
}
