// firefly-standin-service: a plain service for tests and the demo.

#include <iostream>
#include <string>

#include "servers/http/http_server.h"
#include "servers/settings/command_line.h"
#include "tests/stand_ins/service/service.h"

namespace {

constexpr const char* kUsage =
  R"(firefly-standin-service: a plain service for tests

Usage:
  firefly-standin-service [options]

Options:
  --port N   The port on the loopback address; 0 takes a free one. [default: 0]
  --help     Show this text.
  --version  Show the version.
)";

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
  firefly::testing::Service service(executor);
  const auto port = std::stoul(arguments->Text("--port"));
  firefly::HttpServer server(executor,
                             { .port = static_cast<std::uint16_t>(port) },
                             [&](const firefly::HttpRequest& aRequest,
                                 const firefly::HttpResponderPtr& aResponder) {
                               service.Handle(aRequest, aResponder);
                             });
  if (const auto started = server.Start(); !started) {
    std::cerr << started.error().message << '\n';
    return 1;
  }
  std::cout << "port " << server.Port() << std::endl;
  executor.Run();
  return 0;
}
