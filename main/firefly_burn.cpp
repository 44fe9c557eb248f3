#include <chrono>
#include <iostream>

#include "servers/burn/burn_program.h"
#include "servers/control/blocking_fetcher.h"

namespace {

firefly::WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

} // namespace

int
main(int aCount, char** aWords)
{
  firefly::BlockingFetcher fetcher;
  return static_cast<int>(
    firefly::RunBurn({ .fetcher = fetcher,
                       .wallNow = WallNow,
                       .out = std::cout,
                       .err = std::cerr,
                       .version = "firefly-burn " FIREFLY_VERSION },
                     aCount,
                     aWords));
}
