#include "servers/http1/backend_pool.h"

#include <algorithm>
#include <utility>

#include "servers/http1/backend_connection.h"

namespace firefly {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
// For the answer to a call that nobody waits for.
constexpr Duration kSentCallTimeout = std::chrono::seconds(2);

} // namespace

BackendCall::BackendCall(std::shared_ptr<BackendConnection> aConnection)
  : mConnection(std::move(aConnection))
{
}

BackendCall::~BackendCall()
{
  mConnection->Drop();
}

void
BackendCall::Pause()
{
  mConnection->Pause();
}

void
BackendCall::Resume()
{
  mConnection->Resume();
}

// A call whose answer nobody waits for.
class BackendPool::SentCall : public BackendCallObserver
{
public:
  void Start(BackendPool& aPool, Call aCall, Instant aGiveUp)
  {
    mGiveUp = aGiveUp;
    mCall = aPool.Start(std::move(aCall), *this);
  }

  [[nodiscard]] bool Over(Instant aNow) const
  {
    return mOver || aNow >= mGiveUp;
  }

  bool IsMine(const MessageHead& /*aHead*/) override { return true; }
  void OnHead(const MessageHead& /*aHead*/) override {}
  void OnBody(std::string /*aBytes*/) override {}
  void OnEnd() override { mOver = true; }
  void OnFault(BackendCallFault /*aFault*/) override { mOver = true; }

private:
  std::unique_ptr<BackendCall> mCall;
  Instant mGiveUp{};
  bool mOver = false;
};

BackendPool::BackendPool(AsioExecutor& aExecutor, Options aOptions)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
{
  Sweep();
}

BackendPool::~BackendPool()
{
  mAlive.reset();
  for (auto& [id, kept] : mKept) {
    for (auto& it : kept) {
      it.connection->Close();
    }
  }
}

std::unique_ptr<BackendCall>
BackendPool::Start(Call aCall, BackendCallObserver& aObserver)
{
  auto connection = Take(aCall);
  if (connection) {
    mCounters.reused++;
  } else {
    mCounters.opened++;
    connection = std::make_shared<BackendConnection>(
      mExecutor,
      BackendConnection::Options{ .backend = aCall.backend,
                                  .address = aCall.address,
                                  .connectTimeout = mOptions.connectTimeout,
                                  .idleTimeout = mOptions.idleTimeout,
                                  .maxHeadBytes = mOptions.maxHeadBytes,
                                  .liveness = mOptions.liveness },
      *this,
      mAlive);
  }
  connection->Begin(std::move(aCall.bytes), aCall.noBody, aObserver);
  return std::make_unique<BackendCall>(std::move(connection));
}

std::shared_ptr<BackendConnection>
BackendPool::Take(const Call& aCall)
{
  const auto it = mKept.find(aCall.backend);
  if (it == mKept.end()) {
    return nullptr;
  }
  const auto now = mExecutor.Now();
  auto& kept = it->second;
  // The newest first: the others may lapse.
  while (!kept.empty()) {
    auto last = std::move(kept.back());
    kept.pop_back();
    const bool usable = last.address == aCall.address && now < last.until &&
                        now - last.since <= aCall.freshWithin;
    if (usable) {
      return last.connection;
    }
    last.connection->Close();
  }
  return nullptr;
}

void
BackendPool::Keep(const std::shared_ptr<BackendConnection>& aConnection,
                  Duration aIdleTimeout)
{
  const auto now = mExecutor.Now();
  const auto& settings = aConnection->Settings();
  mKept[settings.backend].push_back(
    { .connection = aConnection,
      .address = settings.address,
      .since = now,
      .until = now + aIdleTimeout - mOptions.idleMargin });
}

void
BackendPool::Remove(const BackendConnection* aConnection)
{
  const auto it = mKept.find(aConnection->Settings().backend);
  if (it != mKept.end()) {
    it->second.remove_if(
      [&](const Kept& aKept) { return aKept.connection.get() == aConnection; });
  }
}

void
BackendPool::Send(Call aCall)
{
  mSent.push_back(std::make_unique<SentCall>());
  mSent.back()->Start(
    *this, std::move(aCall), mExecutor.Now() + kSentCallTimeout);
}

void
BackendPool::Forget(const BackendId& aBackend)
{
  auto node = mKept.extract(aBackend);
  if (!node.empty()) {
    for (const auto& it : node.mapped()) {
      it.connection->Close();
    }
  }
}

std::size_t
BackendPool::Idle() const
{
  std::size_t n = 0;
  for (const auto& [id, kept] : mKept) {
    n += kept.size();
  }
  return n;
}

void
BackendPool::Sweep()
{
  const auto now = mExecutor.Now();
  mSent.remove_if([now](const auto& aSent) { return aSent->Over(now); });
  std::vector<std::shared_ptr<BackendConnection>> over;
  for (const auto& [id, kept] : mKept) {
    for (const auto& it : kept) {
      if (now >= it.until) {
        over.push_back(it.connection);
      }
    }
  }
  for (const auto& it : over) {
    it->Close();
  }
  std::erase_if(mKept, [](const auto& aIt) { return aIt.second.empty(); });
  mSweepTimer = mExecutor.RunAfter(kSweepInterval, [this] { Sweep(); });
}

} // namespace firefly
