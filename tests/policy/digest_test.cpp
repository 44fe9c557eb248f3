#include "policy/digest.h"

#include <CppUTest/TestHarness.h>

using firefly::HostId;
using firefly::Incarnation;
using firefly::policy::Digest;

TEST_GROUP(DigestTest){};

TEST(DigestTest, ComesBackFromItsBytes)
{
  Digest digest;
  digest.host = HostId("entry-1");
  digest.incarnation = Incarnation(7);
  digest.sequence = 9;
  digest.work = { { 1, 2, 3, 4 } };
  digest.rows = { { 5, 6, 7 } };
  digest.models = { { 8, 9, 10 } };
  digest.quarantined = { 11 };
  digest.suspects = { 12, 13 };
  const auto back = Digest::Decode(digest.Encode());
  CHECK_TRUE(back.has_value());
  CHECK(back->host == digest.host);
  CHECK(back->incarnation == digest.incarnation);
  LONGS_EQUAL(9, back->sequence);
  LONGS_EQUAL(3, back->work.at(0).prefillTokens);
  LONGS_EQUAL(6, back->rows.at(0).permillePerSecond);
  LONGS_EQUAL(10, back->models.at(0).outputTokensPerSecond);
  LONGS_EQUAL(11, back->quarantined.at(0));
  LONGS_EQUAL(13, back->suspects.at(1));
}

TEST(DigestTest, RefusesBytesThatAreNoDigest)
{
  CHECK_FALSE(Digest::Decode("").has_value());
  CHECK_FALSE(Digest::Decode("\x93\x01\x02\x03").has_value());
  const auto bytes = Digest{}.Encode();
  CHECK_FALSE(Digest::Decode(bytes.substr(0, bytes.size() - 1)).has_value());
}
