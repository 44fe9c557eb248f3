#include "servers/relay/fact_exchange.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using firefly::DecodeNotice;
using firefly::DecodeProgress;
using firefly::EncodeNotice;
using firefly::EncodeProgress;
using firefly::Random;
using firefly::coord::FeedProgress;
using firefly::coord::LogOffset;
using firefly::policy::BackendNotice;
using firefly::policy::Tokens;

TEST_GROUP(FactExchangeTest)
{
  FeedProgress progress{ .from = LogOffset(5),
                         .next = LogOffset(9),
                         .news = { { "a", "one", LogOffset(6) },
                                   { "b", std::nullopt, LogOffset(7) } } };
};

TEST(FactExchangeTest, ProgressComesThroughWhole)
{
  const auto decoded = DecodeProgress(*EncodeProgress(progress));
  LONGS_EQUAL(5, decoded->from.Value());
  LONGS_EQUAL(9, decoded->next.Value());
  LONGS_EQUAL(2, decoded->news.size());
  STRCMP_EQUAL("one", decoded->news[0].value->c_str());
  CHECK_FALSE(decoded->news[1].value.has_value());
}

TEST(FactExchangeTest, WhatFitsNoDatagramIsNotSent)
{
  progress.news.push_back({ "c", std::string(2000, 'x'), LogOffset(8) });
  CHECK_FALSE(EncodeProgress(progress).has_value());
}

TEST(FactExchangeTest, DamagedBytesAreRefusedOrDecoded)
{
  Random random(9);
  const auto whole = *EncodeProgress(progress);
  for (int i = 0; i < 5000; ++i) {
    auto bytes = whole.substr(0, random.Below(whole.size() + 1));
    if (!bytes.empty()) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    (void)DecodeProgress(bytes);
    (void)DecodeNotice(bytes);
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
  CHECK_FALSE(DecodeNotice(*EncodeProgress(progress)).has_value());
}
