// firefly-standin-platform: the platform's stand-in as a program, for process
// tests and the demo.

#include <charconv>
#include <iostream>
#include <string>

#include "servers/http/http_server.h"
#include "tests/stand_ins/platform/platform_service.h"

namespace {

constexpr const char* kUsage =
  "usage: firefly-standin-platform --port=N [--address=IP]\n";

// Returns the value of "--name=value", or the default.
std::string
OptionOf(int aCount,
         const char* const* aWords,
         const std::string& aName,
         const std::string& aDefault)
{
  const std::string prefix = "--" + aName + "=";
  for (int i = 1; i < aCount; ++i) {
    const std::string word = aWords[i];
    if (word.starts_with(prefix)) {
      return word.substr(prefix.size());
    }
  }
  return aDefault;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::string text = OptionOf(aCount, aWords, "port", "");
  std::uint16_t port = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), port);
  if (text.empty() || parsed.ec != std::errc()) {
    std::cerr << kUsage;
    return 2;
  }
  firefly::AsioExecutor executor;
  firefly::stand_ins::PlatformService service(executor);
  firefly::HttpServer::Options options;
  options.address = OptionOf(aCount, aWords, "address", "127.0.0.1");
  options.port = port;
  firefly::HttpServer server(
    executor,
    options,
    [&](firefly::HttpRequest aRequest, firefly::HttpResponderPtr aResponder) {
      service.Handle(std::move(aRequest), std::move(aResponder));
    });
  const auto started = server.Start();
  if (!started) {
    std::cerr << started.error().message << '\n';
    return 1;
  }
  executor.Run();
  return 0;
}
