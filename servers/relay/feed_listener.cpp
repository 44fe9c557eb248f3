#include "servers/relay/feed_listener.h"

#include <utility>

namespace firefly {

FeedListener::FeedListener(std::string aName, Handlers aHandlers)
  : mName(std::move(aName))
  , mHandlers(std::move(aHandlers))
{
}

bool
FeedListener::OnRecord(const coord::KeyedRecord& aRecord)
{
  return mHandlers.onRecord(aRecord);
}

void
FeedListener::OnProgress(const coord::FeedProgress& aProgress)
{
  mHandlers.onProgress(aProgress);
}

void
FeedListener::OnBehind(coord::LogOffset aNext, coord::LogOffset aEnd)
{
  mLog.Info("feed behind the log",
            { { "feed", mName },
              { "next", std::to_string(coord::PositionOf(aNext)) },
              { "end", std::to_string(coord::PositionOf(aEnd)) } });
  mHandlers.onBehind();
}

void
FeedListener::OnRestored(coord::LogEra aBefore, coord::LogEra aNow)
{
  mLog.Warning("log restored from a copy",
               { { "feed", mName },
                 { "era", std::to_string(aNow.Value()) },
                 { "before", std::to_string(aBefore.Value()) } });
  mHandlers.onRestored();
}

void
FeedListener::OnReadFailing()
{
  mHandlers.onReadFailing();
}

void
FeedListener::OnSnapshot(const std::vector<std::string>& aKeys)
{
  mLog.Info("feed loaded",
            { { "feed", mName }, { "keys", std::to_string(aKeys.size()) } });
  mHandlers.onSnapshot(aKeys);
}

void
FeedListener::OnLost(const coord::LogError& aError)
{
  mLog.Warning("log lost", { { "feed", mName }, { "why", aError.message } });
  mHandlers.onLost();
}

void
FeedListener::OnRegained(Duration aAway)
{
  mLog.Info(
    "log regained",
    { { "feed", mName }, { "away_s", std::to_string(ToSeconds(aAway)) } });
  mHandlers.onRegained();
}

} // namespace firefly
