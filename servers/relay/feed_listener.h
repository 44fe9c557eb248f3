#pragma once

// Forwards what a feed reports to handlers, and logs outages of the log.

#include <functional>
#include <string>
#include <vector>

#include "coord/keyed_feed.h"
#include "servers/log/log.h"

namespace firefly {

class FeedListener : public coord::KeyedFeedObserver
{
public:
  struct Handlers
  {
    std::function<bool(const coord::KeyedRecord&)> onRecord;
    std::function<void(const coord::FeedProgress&)> onProgress;
    std::function<void()> onBehind;
    std::function<void()> onReadFailing;
    std::function<void(const std::vector<std::string>&)> onSnapshot;
    std::function<void()> onLost = [] {};
    std::function<void()> onRegained = [] {};
    std::function<void()> onRestored = [] {};
  };

  // aName is the feed's name in log lines.
  FeedListener(std::string aName, Handlers aHandlers);

  bool OnRecord(const coord::KeyedRecord& aRecord) override;
  void OnProgress(const coord::FeedProgress& aProgress) override;
  void OnBehind(coord::LogOffset aNext, coord::LogOffset aEnd) override;
  void OnRestored(coord::LogEra aBefore, coord::LogEra aNow) override;
  void OnReadFailing() override;
  void OnSnapshot(const std::vector<std::string>& aKeys) override;
  void OnLost(const coord::LogError& aError) override;
  void OnRegained(Duration aAway) override;

private:
  std::string mName;
  Handlers mHandlers;
  Log mLog{ "feed" };
};

} // namespace firefly
