#include <iostream>

#include "servers/control/blocking_fetcher.h"
#include "servers/control/control_program.h"

int
main(int aCount, char** aWords)
{
  firefly::BlockingFetcher fetcher;
  return static_cast<int>(firefly::RunControl(fetcher,
                                              std::cout,
                                              std::cerr,
                                              "fireflyctl " FIREFLY_VERSION,
                                              aCount,
                                              aWords));
}
