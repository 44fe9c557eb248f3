#include "platform/platform_store.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::HttpCall;
using firefly::HttpClient;
using firefly::HttpStreamHandlers;
using firefly::HttpTransfer;
using firefly::HttpTransferPtr;
using firefly::coord::KeyedBatch;
using firefly::coord::LogEra;
using firefly::coord::LogError;
using firefly::coord::LogErrorKind;
using firefly::coord::LogOffset;
using firefly::coord::NewestPage;
using firefly::coord::OffsetIn;
using firefly::coord::StreamName;
using firefly::platform::PlatformStore;

namespace {

// Records the calls and lets the test answer the last one.
class FakeHttpClient : public HttpClient
{
public:
  [[nodiscard]] HttpTransferPtr Stream(HttpCall aCall,
                                       HttpStreamHandlers aHandlers) override
  {
    class NullTransfer : public HttpTransfer
    {
      void Pause() override {}
      void Resume() override {}
    };
    calls.push_back(std::move(aCall));
    handlers = std::move(aHandlers);
    return std::make_unique<NullTransfer>();
  }

  void Answer(int aStatus,
              std::string_view aBody,
              const firefly::HttpHeaders& aHeaders = {}) const
  {
    handlers.onHead(aStatus, aHeaders);
    handlers.onBody(aBody);
    handlers.onDone({});
  }

  std::vector<HttpCall> calls;
  HttpStreamHandlers handlers;
};

std::string
EncodeNumber(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes += static_cast<char>((aNumber >> (8 * i)) & 0xff);
  }
  return bytes;
}

std::string
EncodeRecord(const std::string& aKey, const std::string& aValue)
{
  return EncodeNumber(1 + aKey.size() + aValue.size(), 4) +
         EncodeNumber(aKey.size(), 1) + aKey + aValue;
}

} // namespace

TEST_GROUP(PlatformStoreTest)
{
  FakeHttpClient client;
  PlatformStore store{ client, { .url = "http://store" } };
  std::optional<tl::expected<KeyedBatch, LogError>> batch;
  std::optional<tl::expected<NewestPage, LogError>> page;

  void Read()
  {
    store.ReadFrom(StreamName("keyed.op"),
                   LogOffset(5),
                   { .wait = 2s, .maxBytes = 96U << 10U },
                   [this](auto aIt) { batch = std::move(aIt); });
  }
};

TEST(PlatformStoreTest, ReadsRecordsAndRemovals)
{
  Read();
  STRCMP_EQUAL(
    "http://store/-/log-read?topic=keyed.op&part=0&source=5&waitMs=2000"
    "&maxKb=96",
    client.calls[0].url.c_str());
  client.Answer(200,
                EncodeNumber(7, 8) + EncodeNumber(0, 8) +
                  EncodeRecord("a", "one") + EncodeRecord("b", ""));
  CHECK_TRUE(batch->has_value());
  const auto& records = (*batch)->records;
  LONGS_EQUAL(2, records.size());
  STRCMP_EQUAL("one", records[0].value->c_str());
  LONGS_EQUAL(6, records[1].offset.Value());
  CHECK_FALSE(records[1].value.has_value());
  LONGS_EQUAL(7, (*batch)->next.Value());
  LONGS_EQUAL(7, (*batch)->end.Value());
}

TEST(PlatformStoreTest, RejectsATruncatedAnswer)
{
  Read();
  client.Answer(200,
                EncodeNumber(7, 8) + EncodeNumber(0, 8) + EncodeNumber(90, 4) +
                  "short");
  CHECK_FALSE(batch->has_value());
  CHECK((*batch).error().kind == LogErrorKind::kUnavailable);
}

TEST(PlatformStoreTest, ReportsExpiredRecordsAsTrimmed)
{
  Read();
  client.Answer(410, R"({"first":9})");
  CHECK((*batch).error().kind == LogErrorKind::kTrimmed);
}

// Guards against positions of a restored store that are taken for those of the
// records that it has lost.
TEST(PlatformStoreTest, OffsetsOfALaterEraAreLarger)
{
  const firefly::HttpHeaders era{ { "store-era", "3" } };
  const auto body =
    EncodeNumber(7, 8) + EncodeNumber(0, 8) + EncodeRecord("a", "one");
  store.ReadFrom(StreamName("keyed.op"),
                 OffsetIn(LogEra(3), 6),
                 {},
                 [this](auto aIt) { batch = std::move(aIt); });
  STRCMP_CONTAINS("source=6&", client.calls.back().url.c_str());
  client.Answer(200, body, era);
  CHECK((*batch)->records.at(0).offset == OffsetIn(LogEra(3), 6));
  CHECK((*batch)->next == OffsetIn(LogEra(3), 7));
  CHECK((*batch)->end == OffsetIn(LogEra(3), 7));
  store.ReadFrom(StreamName("keyed.op"),
                 OffsetIn(LogEra(2), 6),
                 {},
                 [this](auto aIt) { batch = std::move(aIt); });
  client.Answer(200, body, era);
  CHECK((*batch).error().kind == LogErrorKind::kTrimmed);
  store.ReadNewest(
    StreamName("keyed.op"), "", [this](auto aIt) { page = std::move(aIt); });
  client.Answer(
    200,
    R"({"items":[{"key":"c","value":"b25l","offset":4}],"hasMore":false,)"
    R"("endOffset":6})",
    era);
  CHECK((*page)->end == OffsetIn(LogEra(3), 6));
  CHECK((*page)->records.at(0).offset == OffsetIn(LogEra(3), 4));
  tl::expected<LogOffset, LogError> appended;
  store.Append(
    StreamName("s"), { "x" }, [&](const auto& aIt) { appended = aIt; });
  client.Answer(200, R"({"offset":2,"endOffset":3})", era);
  CHECK(appended.value() == OffsetIn(LogEra(3), 2));
}

// Guards against a reader that starts after the first records have expired and
// never gets any.
TEST(PlatformStoreTest, AReadFromZeroStartsAtTheOldestKeptRecord)
{
  tl::expected<firefly::coord::LogBatch, LogError> records;
  store.Read(StreamName("authority"), LogOffset(0), 10, [&](const auto& aIt) {
    records = aIt;
  });
  client.Answer(410, R"({"first":9})", { { "Store-Era", "1" } });
  LONGS_EQUAL(2, client.calls.size());
  STRCMP_CONTAINS("source=9&", client.calls.back().url.c_str());
  client.Answer(200,
                EncodeNumber(10, 8) + EncodeNumber(9, 8) + EncodeNumber(1, 4) +
                  "x",
                { { "Store-Era", "1" } });
  CHECK(records->first == OffsetIn(LogEra(1), 9));
  CHECK(records->records.at(0).offset == OffsetIn(LogEra(1), 9));
  store.Read(StreamName("authority"),
             OffsetIn(LogEra(1), 3),
             10,
             [&](const auto& aIt) { records = aIt; });
  client.Answer(410, R"({"first":9})", { { "Store-Era", "1" } });
  CHECK(records.error().kind == LogErrorKind::kTrimmed);
}

TEST(PlatformStoreTest, ReadsTheNewestRecordOfEachKeyInPages)
{
  store.ReadNewest(
    StreamName("keyed.op"), "a b", [this](auto aIt) { page = std::move(aIt); });
  STRCMP_EQUAL("http://store/-/log-newest?topic=keyed.op&part=0&after=a%20b",
               client.calls[0].url.c_str());
  client.Answer(
    200,
    R"({"items":[{"key":"c","value":"b25l","offset":4}],"hasMore":true,)"
    R"("endOffset":6})");
  CHECK_TRUE((*page)->hasMore);
  STRCMP_EQUAL("one", (*page)->records[0].value->c_str());
  LONGS_EQUAL(6, (*page)->end.Value());
}

TEST(PlatformStoreTest, ReportsOtherStatusesAsUnavailable)
{
  Read();
  client.Answer(429, "");
  CHECK((*batch).error().kind == LogErrorKind::kUnavailable);
}

// Guards against reads of a large record that are ended while it arrives.
TEST(PlatformStoreTest, ReadsEndWhenNothingArrivesAndAppendsAfterTheirTime)
{
  const auto stall = PlatformStore::Options{}.callTimeout;
  Read();
  CHECK_TRUE(client.calls.back().stallTimeout == stall + 2s);
  CHECK_TRUE(client.calls.back().totalTimeout >= 10s);
  store.ReadNewest(StreamName("keyed.op"), "", [](const auto&) {});
  CHECK_TRUE(client.calls.back().stallTimeout == stall);
  CHECK_TRUE(client.calls.back().totalTimeout >= 10s);
  store.Append(StreamName("work"), { "x" }, [](const auto&) {});
  CHECK_TRUE(client.calls.back().totalTimeout == stall);
}
