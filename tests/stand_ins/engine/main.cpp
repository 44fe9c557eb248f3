// firefly-standin-engine: a model engine for tests and the demo.

#include <chrono>
#include <iostream>
#include <string>

#include "servers/http/http_server.h"
#include "servers/settings/command_line.h"
#include "tests/stand_ins/engine/engine.h"

namespace {

constexpr const char* kUsage =
  R"(firefly-standin-engine: a model engine for tests

Usage:
  firefly-standin-engine [options]

Options:
  --port N            The port on the loopback address; 0 takes a free one. [default: 0]
  --model ID          The model it has loaded. [default: demo-model]
  --role NAME         mixed, prefill or decode. [default: mixed]
  --slots N           Requests that run at the same time. [default: 8]
  --first-token-ms N  Time from the start of a request to its first token. [default: 20]
  --token-ms N        Time between two tokens. [default: 5]
  --change-ms N       Duration of a change of role or model. [default: 500]
  --lag-ms N          Minimum age of a load report. [default: 200]
  --checks-fencing    Refuse orders with an older fencing number.
  --help              Show this text.
  --version           Show the version.
)";

firefly::Duration
Millis(const firefly::ParsedArguments& aArguments, const std::string& aName)
{
  return std::chrono::milliseconds(std::stol(aArguments.Text(aName)));
}

firefly::testing::Engine::Options
EngineOptions(const firefly::ParsedArguments& aArguments)
{
  return { .model = aArguments.Text("--model"),
           .role = aArguments.Text("--role"),
           .slots = std::stoul(aArguments.Text("--slots")),
           .firstToken = Millis(aArguments, "--first-token-ms"),
           .tokenGap = Millis(aArguments, "--token-ms"),
           .change = Millis(aArguments, "--change-ms"),
           .reportLag = Millis(aArguments, "--lag-ms"),
           .checksFencing = aArguments.Has("--checks-fencing") };
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto arguments =
    firefly::ParseArguments(kUsage, "0.1.0", aCount, aWords);
  if (!arguments) {
    return static_cast<int>(arguments.error());
  }
  firefly::AsioExecutor executor;
  firefly::testing::Engine engine(EngineOptions(*arguments), executor);
  firefly::HttpServer server(executor,
                             { .port = static_cast<std::uint16_t>(
                                 std::stoul(arguments->Text("--port"))) },
                             [&](const firefly::HttpRequest& aRequest,
                                 const firefly::HttpResponderPtr& aResponder) {
                               engine.Handle(aRequest, aResponder);
                             });
  if (const auto started = server.Start(); !started) {
    std::cerr << started.error().message << '\n';
    return 1;
  }
  std::cout << "port " << server.Port() << std::endl;
  executor.Run();
  return 0;
}
