#include "servers/control/fetcher.h"

#include <utility>

namespace firefly {

FetchResult
Fetcher::Fetch(HttpCall aCall)
{
  std::vector<HttpCall> calls;
  calls.push_back(std::move(aCall));
  return FetchAll(std::move(calls)).front();
}

} // namespace firefly
