#include "servers/relay/fact_exchange.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using firefly::DecodeNotice;
using firefly::DecodeProgress;
using firefly::DecodeRoutingNews;
using firefly::EncodeNotice;
using firefly::EncodeProgress;
using firefly::EncodeRoutingNews;
using firefly::Random;
using firefly::SharedFeed;
using firefly::SharedProgress;
using firefly::coord::FeedProgress;
using firefly::coord::LogOffset;
using firefly::policy::BackendNotice;
using firefly::policy::Tokens;

TEST_GROUP(FactExchangeTest)
{
  SharedProgress shared{ .feed = SharedFeed::kRouting,
                         .progress = {
                           .from = LogOffset(5),
                           .next = LogOffset(9),
                           .news = { { "a", "one", LogOffset(6) },
                                     { "b", std::nullopt, LogOffset(7) } } } };
};

TEST(FactExchangeTest, ProgressComesThroughWhole)
{
  const auto datagrams = EncodeProgress(shared);
  LONGS_EQUAL(1, datagrams.size());
  const auto decoded = DecodeProgress(datagrams[0]);
  CHECK(decoded->feed == SharedFeed::kRouting);
  LONGS_EQUAL(5, decoded->progress.from.Value());
  LONGS_EQUAL(9, decoded->progress.next.Value());
  LONGS_EQUAL(2, decoded->progress.news.size());
  STRCMP_EQUAL("one", decoded->progress.news[0].value->c_str());
  CHECK_FALSE(decoded->progress.news[1].value.has_value());
}

// Load: a fresh fleet of 140 engines, whose records come at once. A read that
// fitted no datagram cost a call to the log for each relay.
TEST(FactExchangeTest, ManyRecordsComeThroughInSeveralDatagrams)
{
  FeedProgress sent{ .from = LogOffset(0), .next = LogOffset(300), .news = {} };
  for (std::uint64_t i = 0; i < 140; ++i) {
    sent.news.push_back(
      { "i-" + std::to_string(i), std::string(250, 'x'), LogOffset(2 * i) });
  }
  auto next = LogOffset(0);
  std::size_t records = 0;
  for (const auto& it : EncodeProgress({ .progress = sent })) {
    CHECK(it.size() <= 1400);
    const auto decoded = DecodeProgress(it);
    CHECK(decoded->progress.from == next);
    next = decoded->progress.next;
    for (const auto& record : decoded->progress.news) {
      CHECK(record.offset < next);
      STRCMP_EQUAL(sent.news[records].key.c_str(), record.key.c_str());
      ++records;
    }
  }
  LONGS_EQUAL(140, records);
  LONGS_EQUAL(300, next.Value());
}

TEST(FactExchangeTest, ARecordThatFitsNoDatagramEndsWhatIsTold)
{
  auto& progress = shared.progress;
  progress.news.push_back({ "c", std::string(2000, 'x'), LogOffset(8) });
  const auto datagrams = EncodeProgress(shared);
  LONGS_EQUAL(1, datagrams.size());
  const auto decoded = DecodeProgress(datagrams[0]);
  LONGS_EQUAL(2, decoded->progress.news.size());
  LONGS_EQUAL(8, decoded->progress.next.Value());
  progress.news.erase(progress.news.begin(), progress.news.begin() + 2);
  const auto alone = DecodeProgress(EncodeProgress(shared).at(0));
  LONGS_EQUAL(0, alone->progress.news.size());
  LONGS_EQUAL(8, alone->progress.next.Value());
}

TEST(FactExchangeTest, RoutingNewsComeThrough)
{
  const auto bytes = EncodeRoutingNews(
    { .version = 11, .next = LogOffset(4), .bytes = 900, .host = "10.0.0.1" });
  const auto news = DecodeRoutingNews(bytes);
  LONGS_EQUAL(11, news->version);
  LONGS_EQUAL(4, news->next.Value());
  LONGS_EQUAL(900, news->bytes);
  STRCMP_EQUAL("10.0.0.1", news->host.c_str());
  CHECK_FALSE(DecodeProgress(bytes).has_value());
  CHECK_FALSE(DecodeNotice(bytes).has_value());
}

TEST(FactExchangeTest, DamagedBytesAreRefusedOrDecoded)
{
  Random random(9);
  const auto whole = EncodeProgress(shared).at(0);
  for (int i = 0; i < 5000; ++i) {
    auto bytes = whole.substr(0, random.Below(whole.size() + 1));
    if (!bytes.empty()) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    (void)DecodeProgress(bytes);
    (void)DecodeNotice(bytes);
    (void)DecodeRoutingNews(bytes);
  }
}

TEST(FactExchangeTest, ANoticeComesThroughWithItsDeepestPrefixes)
{
  const BackendNotice sent{ .kind = BackendNotice::Kind::kPlaced,
                            .backend = ~0ULL,
                            .uncached = Tokens(3720),
                            .prefixes = { 1, 2, 3, 4, 5, 6 } };
  const auto bytes = EncodeNotice(sent);
  CHECK_FALSE(DecodeProgress(bytes).has_value());
  const auto notice = DecodeNotice(bytes);
  CHECK(notice->kind == BackendNotice::Kind::kPlaced);
  CHECK(notice->backend == ~0ULL);
  LONGS_EQUAL(3720, notice->uncached.Value());
  LONGS_EQUAL(4, notice->prefixes.size());
  CHECK(notice->prefixes.back() == 6);
  CHECK_FALSE(DecodeNotice(EncodeProgress(shared).at(0)).has_value());
}
