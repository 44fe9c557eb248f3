#include "tests/soak/fake_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "servers/platform/base64.h"

namespace firefly::soak {

namespace {

constexpr std::string_view kCompactedPrefix = "keyed.";
constexpr std::size_t kPageSize = 500;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
// The time of an answer without faults.
constexpr Duration kMinAnswerTime = std::chrono::milliseconds(2);
constexpr Duration kMinLateAppendDelay = std::chrono::seconds(1);
constexpr double kLateAppendSpreadSeconds = 3;
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr Duration kCopyMemory = std::chrono::seconds(12);
constexpr Duration kRewriteDelay = std::chrono::milliseconds(50);

bool
IsCompacted(const std::string& aTopic)
{
  return aTopic.starts_with(kCompactedPrefix);
}

std::string
EncodeBigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string bytes;
  for (std::size_t i = aBytes; i > 0; --i) {
    bytes += static_cast<char>((aNumber >> (8 * (i - 1))) & 0xFFU);
  }
  return bytes;
}

std::vector<std::string>
SplitRecords(std::string_view aBody)
{
  std::vector<std::string> records;
  while (aBody.size() >= kLengthBytes) {
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      n = (n << 8U) | static_cast<unsigned char>(aBody[i]);
    }
    aBody.remove_prefix(kLengthBytes);
    records.emplace_back(aBody.substr(0, n));
    aBody.remove_prefix(std::min<std::size_t>(n, aBody.size()));
  }
  return records;
}

std::map<std::string, std::string>
SplitQuery(std::string_view aTarget)
{
  std::map<std::string, std::string> query;
  const auto start = aTarget.find('?');
  auto rest = start == std::string_view::npos ? "" : aTarget.substr(start + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos) {
      query.emplace(pair.substr(0, equals), pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return query;
}

std::uint64_t
QueryNumber(const std::map<std::string, std::string>& aQuery, const char* aKey)
{
  const auto it = aQuery.find(aKey);
  std::uint64_t number = 0;
  if (it != aQuery.end()) {
    std::from_chars(
      it->second.data(), it->second.data() + it->second.size(), number);
  }
  return number;
}

} // namespace

FakeStore::FakeStore(AsioExecutor& aExecutor, std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mRandom(aSeed)
  , mServer(aExecutor, { .liveness = {}, .limits = {} }, *this)
{
  MakeCopies();
}

FakeStore::~FakeStore() = default;

tl::expected<void, CallerServerError>
FakeStore::Start()
{
  return mServer.Start();
}

bool
FakeStore::Put(const std::string& aTopic,
               const std::string& aKey,
               const std::optional<std::string>& aValue)
{
  if (mFaults.isUnavailable) {
    return false;
  }
  auto record =
    std::string(1, static_cast<char>(aKey.size())) + aKey + aValue.value_or("");
  mWrites.push_back({ mExecutor.Now(), aTopic, record });
  AddRecords(aTopic, { std::move(record) });
  return true;
}

void
FakeStore::AppendGarbage(const std::string& aTopic, std::string aBytes)
{
  AddRecords(aTopic, { std::move(aBytes) });
}

void
FakeStore::MakeCopies()
{
  const auto now = mExecutor.Now();
  mCopies.push_back({ now, mTopics });
  while (mCopies.front().at + kCopyMemory < now) {
    mCopies.pop_front();
  }
  while (!mWrites.empty() && mWrites.front().at + 2 * kCopyMemory < now) {
    mWrites.pop_front();
  }
  mCopyTimer = mExecutor.RunAfter(kCopyInterval, [this] { MakeCopies(); });
}

void
FakeStore::Restore(Duration aAge)
{
  const auto now = mExecutor.Now();
  const auto it = std::ranges::find_if(
    mCopies, [&](const Copy& aCopy) { return aCopy.at >= now - aAge; });
  const auto copy = it == mCopies.end() ? mCopies.back() : *it;
  mEra++;
  mTopics = copy.topics;
  mCopies.clear();
  mCopies.push_back({ now, mTopics });
  auto delay = kRewriteDelay;
  for (const auto& write : mWrites) {
    if (write.at >= copy.at) {
      mPendingTimers.push_back(
        mExecutor.RunAfter(delay, [this, write, now] { Rewrite(write, now); }));
      delay += std::chrono::milliseconds(1);
    }
  }
}

void
FakeStore::Rewrite(const Write& aWrite, Instant aRestored)
{
  const auto key = [](const Write& aIt) {
    return aIt.record.substr(0, 1 + static_cast<unsigned char>(aIt.record[0]));
  };
  const bool isOutdated = std::ranges::any_of(mWrites, [&](const Write& aIt) {
    return aIt.at > aRestored && aIt.topic == aWrite.topic &&
           key(aIt) == key(aWrite);
  });
  if (!isOutdated) {
    AddRecords(aWrite.topic, { aWrite.record });
  }
}

void
FakeStore::Compact()
{
  for (auto& [name, topic] : mTopics) {
    if (IsCompacted(name)) {
      topic.first = topic.End();
      topic.records.clear();
    }
  }
}

std::uint64_t
FakeStore::AddRecords(const std::string& aTopic,
                      std::vector<std::string> aRecords)
{
  auto& topic = mTopics[aTopic];
  const auto offset = topic.End();
  for (auto& it : aRecords) {
    const auto n =
      it.empty() ? 0
                 : static_cast<std::size_t>(static_cast<unsigned char>(it[0]));
    if (IsCompacted(aTopic) && it.size() > n) {
      const auto key = it.substr(1, n);
      auto value = it.substr(1 + n);
      if (value.empty()) {
        topic.newest.erase(key);
      } else {
        topic.newest[key] = { std::move(value), topic.End() };
      }
    }
    topic.records.push_back(std::move(it));
  }
  AnswerReaders(aTopic);
  return offset;
}

void
FakeStore::OnRequest(CallerRequest aRequest,
                     std::shared_ptr<CallerAnswer> aAnswer)
{
  mCalls++;
  if (mFaults.isUnavailable) {
    Send(aAnswer, 503, "");
    return;
  }
  const auto& target = aRequest.head.target;
  const auto query = SplitQuery(target);
  if (target.starts_with("/-/log-append")) {
    OnAppend(query, aRequest.body, aAnswer);
  } else if (target.starts_with("/-/log-read")) {
    OnRead(query, aAnswer);
  } else if (target.starts_with("/-/log-newest")) {
    OnNewest(query, aAnswer);
  } else {
    Send(aAnswer, 404, "");
  }
}

void
FakeStore::OnAppend(const Query& aQuery,
                    const std::string& aBody,
                    const std::shared_ptr<CallerAnswer>& aAnswer)
{
  const auto topic = aQuery.at("topic");
  if (IsCompacted(topic)) {
    Send(aAnswer, 403, "");
    return;
  }
  auto records = SplitRecords(aBody);
  if (mRandom.Chance(mFaults.lateAppendRate)) {
    const auto delay =
      kMinLateAppendDelay +
      FromSeconds(kLateAppendSpreadSeconds * mRandom.Uniform());
    mPendingTimers.push_back(mExecutor.RunAfter(
      delay, [this, topic, records] { AddRecords(topic, records); }));
    aAnswer->Abort();
    return;
  }
  const auto offset = AddRecords(topic, std::move(records));
  if (mRandom.Chance(mFaults.lostAnswerRate)) {
    aAnswer->Abort();
    return;
  }
  Send(aAnswer,
       200,
       nlohmann::json{ { "offset", offset },
                       { "endOffset", mTopics[topic].End() } }
         .dump());
}

void
FakeStore::OnRead(const Query& aQuery,
                  const std::shared_ptr<CallerAnswer>& aAnswer)
{
  Reader reader{ .topic = aQuery.at("topic"),
                 .from = QueryNumber(aQuery, "source"),
                 .answer = aAnswer,
                 .timer = {} };
  const auto wait = std::chrono::milliseconds(QueryNumber(aQuery, "waitMs"));
  if (wait.count() == 0 || mTopics[reader.topic].End() > reader.from) {
    AnswerReader(reader);
    return;
  }
  mReaders.push_back(std::move(reader));
  const auto it = std::prev(mReaders.end());
  it->timer = mExecutor.RunAfter(wait, [this, it] {
    AnswerReader(*it);
    mReaders.erase(it);
  });
}

void
FakeStore::AnswerReader(Reader& aReader)
{
  const auto& topic = mTopics[aReader.topic];
  if (aReader.from < topic.first || aReader.from > topic.End()) {
    Send(
      aReader.answer, 410, nlohmann::json{ { "first", topic.first } }.dump());
    return;
  }
  auto body = EncodeBigEndian(topic.End(), kOffsetBytes) +
              EncodeBigEndian(topic.first, kOffsetBytes);
  for (auto i = aReader.from; i < topic.End(); ++i) {
    const auto& record = topic.records[i - topic.first];
    body += EncodeBigEndian(record.size(), kLengthBytes) + record;
  }
  Send(aReader.answer, 200, std::move(body));
}

void
FakeStore::AnswerReaders(const std::string& aTopic)
{
  for (auto it = mReaders.begin(); it != mReaders.end();) {
    if (it->topic != aTopic) {
      ++it;
      continue;
    }
    AnswerReader(*it);
    it = mReaders.erase(it);
  }
}

void
FakeStore::OnNewest(const Query& aQuery,
                    const std::shared_ptr<CallerAnswer>& aAnswer)
{
  const auto& topic = mTopics[aQuery.at("topic")];
  const auto after = aQuery.contains("after") ? aQuery.at("after") : "";
  auto items = nlohmann::json::array();
  bool hasMore = false;
  for (auto it = topic.newest.upper_bound(after); it != topic.newest.end();
       ++it) {
    if (items.size() == kPageSize) {
      hasMore = true;
      break;
    }
    items.push_back({ { "key", it->first },
                      { "value", EncodeBase64(it->second.first) },
                      { "offset", it->second.second } });
  }
  Send(aAnswer,
       200,
       nlohmann::json{ { "items", items },
                       { "hasMore", hasMore },
                       { "endOffset", topic.End() } }
         .dump());
}

void
FakeStore::Send(const std::shared_ptr<CallerAnswer>& aAnswer,
                int aStatus,
                std::string aBody)
{
  std::erase_if(mPendingTimers,
                [](const auto& aTimer) { return !aTimer.IsPending(); });
  mPendingTimers.push_back(
    mExecutor.RunAfter(std::max(kMinAnswerTime, mFaults.delay),
                       [aAnswer, aStatus, era = mEra, body = std::move(aBody)] {
                         aAnswer->Send(aStatus,
                                       "",
                                       { { "Content-Type", "x" },
                                         { "Store-Era", std::to_string(era) } },
                                       body);
                       }));
}

} // namespace firefly::soak
