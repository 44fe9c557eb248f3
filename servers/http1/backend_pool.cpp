#include "servers/http1/backend_pool.h"

#include <algorithm>
#include <utility>

#include "servers/http1/backend_connection.h"
#include "servers/http1/backend_path.h"

namespace firefly {

namespace {

constexpr Duration kExpiryCheckInterval = std::chrono::seconds(1);
// Maximum time of a call whose response is ignored.
constexpr Duration kDetachedCallTimeout = std::chrono::seconds(2);

} // namespace

BackendCall::BackendCall(std::shared_ptr<BackendConnection> aConnection,
                         BackendCallNumber aNumber)
  : mConnection(std::move(aConnection))
  , mNumber(aNumber)
{
}

BackendCall::~BackendCall()
{
  mConnection->Abandon(mNumber);
}

void
BackendCall::Pause()
{
  mConnection->Pause(mNumber);
}

void
BackendCall::Resume()
{
  mConnection->Resume(mNumber);
}

// A call whose response is ignored.
class BackendPool::DetachedCall : public BackendCallObserver
{
public:
  void Start(BackendPool& aPool, Call aCall, Instant aDeadline)
  {
    mDeadline = aDeadline;
    mCall = aPool.Start(std::move(aCall), *this);
  }

  [[nodiscard]] bool IsOver(Instant aNow) const
  {
    return mFinished || aNow >= mDeadline;
  }

  ResponseMatch MatchResponse(const MessageHead& /*aHead*/) override
  {
    return ResponseMatch::kUnidentified;
  }
  void OnHead(const MessageHead& /*aHead*/) override {}
  void OnBody(std::string /*aBytes*/) override {}
  void OnEnd() override { mFinished = true; }
  void OnFault(BackendCallFault /*aFault*/) override { mFinished = true; }

private:
  std::unique_ptr<BackendCall> mCall;
  Instant mDeadline{};
  bool mFinished = false;
};

BackendPool::BackendPool(AsioExecutor& aExecutor, Options aOptions)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
{
  RemoveExpired();
}

BackendPool::~BackendPool()
{
  mAlive.reset();
  for (auto& [id, idle] : mIdle) {
    for (auto& it : idle) {
      it.connection->Close();
    }
  }
}

std::unique_ptr<BackendCall>
BackendPool::Start(Call aCall, BackendCallObserver& aObserver)
{
  auto connection = TakeIdle(aCall);
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
                                  .liveness = mOptions.liveness,
                                  .path = aCall.mayUseTunnel ? mOptions.path
                                                             : nullptr },
      *this,
      mAlive);
  }
  const auto number = connection->StartCall(std::move(aCall), aObserver);
  return std::make_unique<BackendCall>(std::move(connection), number);
}

std::shared_ptr<BackendConnection>
BackendPool::TakeIdle(const Call& aCall)
{
  const auto it = mIdle.find(aCall.backend);
  if (it == mIdle.end()) {
    return nullptr;
  }
  const auto now = mExecutor.Now();
  auto& idle = it->second;
  // Reuses the newest connection first, so that surplus ones expire.
  for (auto last = idle.end(); last != idle.begin();) {
    --last;
    const bool isTunnel = last->connection->IsTunnel();
    const bool needsTunnel = aCall.mayUseTunnel && mOptions.path != nullptr &&
                             mOptions.path->UsesTunnels();
    // While this host is cut off, an old direct connection may hang.
    if (!last->connection->MayCarry(aCall.request, aCall.noBody) ||
        (isTunnel && !aCall.mayUseTunnel) || (!isTunnel && needsTunnel)) {
      continue;
    }
    auto connection = last->connection;
    const bool usable = last->address == aCall.address && now < last->expires &&
                        now - last->idleSince <= aCall.maxIdleAge &&
                        isTunnel == needsTunnel && connection->IsQuiet();
    last = idle.erase(last);
    if (usable) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
BackendPool::AddIdle(const std::shared_ptr<BackendConnection>& aConnection,
                     Duration aIdleTimeout)
{
  const auto now = mExecutor.Now();
  const auto& settings = aConnection->Settings();
  mIdle[settings.backend].push_back(
    { .connection = aConnection,
      .address = settings.address,
      .idleSince = now,
      .expires = now + aIdleTimeout - mOptions.idleMargin });
}

void
BackendPool::RemoveIdle(const BackendConnection* aConnection)
{
  const auto it = mIdle.find(aConnection->Settings().backend);
  if (it != mIdle.end()) {
    it->second.remove_if([&](const IdleConnection& aIdle) {
      return aIdle.connection.get() == aConnection;
    });
  }
}

void
BackendPool::Send(Call aCall)
{
  mDetachedCalls.push_back(std::make_unique<DetachedCall>());
  mDetachedCalls.back()->Start(
    *this, std::move(aCall), mExecutor.Now() + kDetachedCallTimeout);
}

void
BackendPool::CloseIdle(const BackendId& aBackend)
{
  auto node = mIdle.extract(aBackend);
  if (!node.empty()) {
    for (const auto& it : node.mapped()) {
      it.connection->Close();
    }
  }
}

std::size_t
BackendPool::IdleCount() const
{
  std::size_t n = 0;
  for (const auto& [id, idle] : mIdle) {
    n += idle.size();
  }
  return n;
}

void
BackendPool::RemoveExpired()
{
  const auto now = mExecutor.Now();
  mDetachedCalls.remove_if(
    [now](const auto& aCall) { return aCall->IsOver(now); });
  std::vector<std::shared_ptr<BackendConnection>> expired;
  for (const auto& [id, idle] : mIdle) {
    for (const auto& it : idle) {
      if (now >= it.expires) {
        expired.push_back(it.connection);
      }
    }
  }
  for (const auto& it : expired) {
    it->Close();
  }
  std::erase_if(mIdle, [](const auto& aIt) { return aIt.second.empty(); });
  mExpiryTimer =
    mExecutor.RunAfter(kExpiryCheckInterval, [this] { RemoveExpired(); });
}

} // namespace firefly
