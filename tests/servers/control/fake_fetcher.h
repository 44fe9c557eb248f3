#pragma once

// Answers calls from a script in place of the network.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "servers/control/fetcher.h"

namespace firefly {

class FakeFetcher : public Fetcher
{
public:
  // Answers the calls of that method and URL; the last answer stays.
  void Answer(const std::string& aCall, int aStatus, const std::string& aBody);
  void Fail(const std::string& aCall, HttpErrorKind aKind);

  std::vector<FetchResult> FetchAll(std::vector<HttpCall> aCalls) override;
  void Sleep(Duration aSpan) override { mNow += aSpan; }
  [[nodiscard]] Instant Now() const override { return mNow; }

  // All calls so far, such as "GET http://a/x".
  std::vector<std::string> calls;

private:
  FetchResult Next(const HttpCall& aCall);

  std::map<std::string, std::deque<FetchResult>> mScript;
  Instant mNow{};
};

} // namespace firefly
