#include "tests/stand_ins/platform/platform_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "servers/platform/base64.h"

namespace firefly::stand_ins {

namespace {

using nlohmann::json;

constexpr std::size_t kDefaultLimit = 1000;
constexpr std::size_t kMaxHostListHistory = 1000;

std::uint64_t
NumberOf(const HttpRequest& aRequest,
         std::string_view aName,
         std::uint64_t aDefault)
{
  const std::string text = aRequest.QueryValue(aName);
  std::uint64_t number = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void
Answer(const HttpResponderPtr& aResponder, int aStatus, const json& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = aBody.dump();
  aResponder->Send(std::move(response));
}

std::optional<std::vector<std::string>>
DecodePayloads(const std::string& aBody)
{
  const json payloads = json::parse(aBody, nullptr, false);
  if (!payloads.is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> decoded;
  for (const json& payload : payloads) {
    if (!payload.is_string()) {
      return std::nullopt;
    }
    auto bytes = DecodeBase64(payload.get_ref<const std::string&>());
    if (!bytes) {
      return std::nullopt;
    }
    decoded.push_back(std::move(*bytes));
  }
  return decoded;
}

json
EncodeBatch(const StoredBatch& aBatch)
{
  json records = json::array();
  for (const StoredRecord& record : aBatch.records) {
    records.push_back({ { "offset", record.offset },
                        { "payload", EncodeBase64(record.payload) } });
  }
  return { { "records", std::move(records) },
           { "first", aBatch.first },
           { "end", aBatch.end } };
}

} // namespace

PlatformService::PlatformService(AsioExecutor& aExecutor)
  : mExecutor(aExecutor)
{
  mHostListHistory.emplace_back();
}

void
PlatformService::Handle(HttpRequest aRequest, HttpResponderPtr aResponder)
{
  const bool isLogCall = aRequest.path.starts_with("/log/");
  if (!isLogCall || mFaults.Delay() == Duration::zero()) {
    Serve(aRequest, aResponder);
    return;
  }
  std::erase_if(mDelays,
                [](const Timer& aTimer) { return !aTimer.IsPending(); });
  mDelays.push_back(mExecutor.RunAfter(
    mFaults.Delay(),
    [this, request = std::move(aRequest), responder = std::move(aResponder)] {
      Serve(request, responder);
    }));
}

void
PlatformService::Serve(const HttpRequest& aRequest,
                       const HttpResponderPtr& aResponder)
{
  const std::vector<std::string> path = SplitPath(aRequest.path);
  const std::string service = path.empty() ? "" : path.front();
  const std::string name = path.size() < 2 ? "" : path[1];
  if (service == "control") {
    ServeControl(aRequest, aResponder);
  } else if (service == "hosts") {
    ServeHosts(aRequest, name, aResponder);
  } else if (service == "weights") {
    ServeWeights(aResponder);
  } else if (service != "log") {
    Answer(aResponder, 404, json::object());
  } else if (mFaults.ShouldRefuse()) {
    ++mCounters.refused;
    Answer(aResponder, 503, json::object());
  } else if (aRequest.method == "POST") {
    Append(name, aRequest, aResponder);
  } else {
    Read(name, aRequest, aResponder);
  }
}

void
PlatformService::Append(const std::string& aStream,
                        const HttpRequest& aRequest,
                        const HttpResponderPtr& aResponder)
{
  const auto payloads = DecodePayloads(aRequest.body);
  if (!payloads) {
    Answer(aResponder, 400, json::object());
    return;
  }
  const std::uint64_t first = mLog.Append(aStream, *payloads, mExecutor.Now());
  ++mCounters.appends;
  mCounters.records += payloads->size();
  WakeReaders(aStream);
  if (mFaults.ShouldLoseAnswer(aStream)) {
    ++mCounters.lost;
    aResponder->Abort();
    return;
  }
  Answer(aResponder, 200, { { "first", first } });
}

void
PlatformService::Read(const std::string& aStream,
                      const HttpRequest& aRequest,
                      const HttpResponderPtr& aResponder)
{
  ++mCounters.reads;
  Waiter waiter;
  waiter.stream = aStream;
  waiter.from = NumberOf(aRequest, "from", 0);
  waiter.limit = NumberOf(aRequest, "limit", kDefaultLimit);
  waiter.responder = aResponder;
  const auto wait = std::chrono::milliseconds(NumberOf(aRequest, "wait_ms", 0));
  const StoredBatch batch = mLog.Read(aStream, waiter.from, 0, mExecutor.Now());
  if (wait.count() > 0 && waiter.from == batch.end) {
    Wait(std::move(waiter), wait);
    return;
  }
  AnswerRead(waiter);
}

void
PlatformService::Wait(Waiter aWaiter, Duration aLimit)
{
  const auto it = mWaiters.insert(mWaiters.end(), std::move(aWaiter));
  it->timer = mExecutor.RunAfter(aLimit, [this, it] {
    const Waiter waiter = std::move(*it);
    mWaiters.erase(it);
    AnswerRead(waiter);
  });
}

void
PlatformService::AnswerRead(const Waiter& aWaiter)
{
  const StoredBatch batch =
    mLog.Read(aWaiter.stream, aWaiter.from, aWaiter.limit, mExecutor.Now());
  const int status = aWaiter.from < batch.first ? 410 : 200;
  Answer(aWaiter.responder, status, EncodeBatch(batch));
}

void
PlatformService::WakeReaders(const std::string& aStream)
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    if (it->stream != aStream) {
      ++it;
      continue;
    }
    AnswerRead(*it);
    it = mWaiters.erase(it);
  }
}

void
PlatformService::ServeHosts(const HttpRequest& aRequest,
                            const std::string& aHost,
                            const HttpResponderPtr& aResponder)
{
  if (aRequest.method == "GET") {
    ListHosts(aResponder);
    return;
  }
  HostList next = mHostListHistory.back();
  next.at = mExecutor.Now();
  if (aRequest.method == "DELETE") {
    next.hosts.erase(aHost);
  } else if (json::accept(aRequest.body)) {
    next.hosts[aHost] = aRequest.body;
  } else {
    Answer(aResponder, 400, json::object());
    return;
  }
  mHostListHistory.push_back(std::move(next));
  if (mHostListHistory.size() > kMaxHostListHistory) {
    mHostListHistory.pop_front();
  }
  Answer(aResponder, 200, json::object());
}

void
PlatformService::ListHosts(const HttpResponderPtr& aResponder)
{
  const Instant asOf = mExecutor.Now() - mFaults.HostsLag();
  const HostList* visible = &mHostListHistory.front();
  for (const HostList& list : mHostListHistory) {
    if (list.at <= asOf) {
      visible = &list;
    }
  }
  json hosts = json::array();
  for (const auto& [id, text] : visible->hosts) {
    json host = json::parse(text);
    host["id"] = id;
    hosts.push_back(std::move(host));
  }
  Answer(aResponder, 200, { { "hosts", std::move(hosts) } });
}

void
PlatformService::ServeWeights(const HttpResponderPtr& aResponder)
{
  const double rate = mFaults.LoadsPerSecond();
  const Instant now = mExecutor.Now();
  if (mFaults.Outage()) {
    Answer(aResponder, 503, json::object());
    return;
  }
  if (rate > 0) {
    mWeightLoadTokens += ToSeconds(now - mTokensUpdatedAt) * rate;
    mWeightLoadTokens = std::min(mWeightLoadTokens, 1.0);
    mTokensUpdatedAt = now;
    if (mWeightLoadTokens < 1.0) {
      HttpResponse response;
      response.status = 429;
      response.headers.push_back({ "Retry-After", "1" });
      aResponder->Send(std::move(response));
      return;
    }
    mWeightLoadTokens -= 1.0;
  }
  Answer(aResponder, 200, json::object());
}

void
PlatformService::ServeControl(const HttpRequest& aRequest,
                              const HttpResponderPtr& aResponder)
{
  if (aRequest.method == "POST" && !mFaults.Apply(aRequest.body)) {
    Answer(aResponder, 400, json::object());
    return;
  }
  mLog.SetRetention(mFaults.GetRetention());
  Answer(aResponder,
         200,
         { { "appends", mCounters.appends },
           { "records", mCounters.records },
           { "reads", mCounters.reads },
           { "lost", mCounters.lost },
           { "refused", mCounters.refused } });
}

} // namespace firefly::stand_ins
