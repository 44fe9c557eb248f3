#include "tests/servers/control/fake_fetcher.h"

namespace firefly {

void
FakeFetcher::Answer(const std::string& aCall,
                    int aStatus,
                    const std::string& aBody)
{
  mScript[aCall].push_back(
    HttpResult{ .status = aStatus, .headers = {}, .body = aBody });
}

void
FakeFetcher::Fail(const std::string& aCall, HttpErrorKind aKind)
{
  mScript[aCall].push_back(
    tl::unexpected(HttpError{ .kind = aKind, .message = "" }));
}

std::vector<FetchResult>
FakeFetcher::FetchAll(std::vector<HttpCall> aCalls)
{
  std::vector<FetchResult> results;
  results.reserve(aCalls.size());
  for (const auto& it : aCalls) {
    results.push_back(Next(it));
  }
  return results;
}

FetchResult
FakeFetcher::Next(const HttpCall& aCall)
{
  const std::string name = aCall.method + ' ' + aCall.url;
  calls.push_back(name);
  const auto found = mScript.find(name);
  if (found == mScript.end()) {
    return tl::unexpected(
      HttpError{ .kind = HttpErrorKind::kNotSent, .message = "refused" });
  }
  auto& answers = found->second;
  FetchResult result = answers.front();
  if (answers.size() > 1) {
    answers.pop_front();
  }
  return result;
}

} // namespace firefly
