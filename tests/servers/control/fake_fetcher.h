#pragma once

// A Fetcher that answers calls from a script instead of the network.

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
  // Adds an answer for calls such as "GET http://a/x". The answers are used in
  // order and the last one repeatedly.
  void Answer(const std::string& aCall, int aStatus, const std::string& aBody);
  void Fail(const std::string& aCall, HttpErrorKind aKind);

  std::vector<FetchResult> FetchAll(std::vector<HttpCall> aCalls) override;
  void Sleep(Duration aSpan) override { mNow += aSpan; }
  [[nodiscard]] Instant Now() const override { return mNow; }

  // All calls made so far, such as "GET http://a/x".
  std::vector<std::string> calls;

private:
  FetchResult Next(const HttpCall& aCall);

  std::map<std::string, std::deque<FetchResult>> mScript;
  Instant mNow{};
};

} // namespace firefly
