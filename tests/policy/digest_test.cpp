#include "policy/digest.h"

#include <CppUTest/TestHarness.h>

using firefly::HostId;
using firefly::Incarnation;
using firefly::policy::CrashTrait;
using firefly::policy::Digest;

TEST_GROUP(DigestTest){};

TEST(DigestTest, DecodesWhatItEncoded)
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
  digest.crashSuspicions = { { .traits = { CrashTrait(14), CrashTrait(15) },
                               .clearances = 16,
                               .crashes = 17,
                               .trials = 18,
                               .isContrasted = true } };
  const auto decoded = Digest::Decode(digest.Encode());
  CHECK_TRUE(decoded.has_value());
  CHECK(decoded->host == digest.host);
  CHECK(decoded->incarnation == digest.incarnation);
  LONGS_EQUAL(9, decoded->sequence);
  LONGS_EQUAL(3, decoded->work.at(0).prefillTokens);
  LONGS_EQUAL(6, decoded->rows.at(0).permillePerSecond);
  LONGS_EQUAL(10, decoded->models.at(0).outputTokensPerSecond);
  LONGS_EQUAL(11, decoded->quarantined.at(0));
  LONGS_EQUAL(13, decoded->suspects.at(1));
  const auto& suspicion = decoded->crashSuspicions.at(0);
  CHECK(suspicion.traits == digest.crashSuspicions[0].traits);
  LONGS_EQUAL(16, suspicion.clearances);
  LONGS_EQUAL(17, suspicion.crashes);
  LONGS_EQUAL(18, suspicion.trials);
  CHECK_TRUE(suspicion.isContrasted);
}

TEST(DigestTest, DecodesDigestsOfOlderVersions)
{
  Digest digest;
  digest.sequence = 9;
  auto bytes = digest.Encode();
  // Each version added one list, which is empty here, to the outer array.
  for (const char head : { '\x99', '\x98' }) {
    bytes.pop_back();
    bytes[0] = head;
    const auto decoded = Digest::Decode(bytes);
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(9, decoded->sequence);
  }
}

TEST(DigestTest, RejectsInvalidBytes)
{
  CHECK_FALSE(Digest::Decode("").has_value());
  CHECK_FALSE(Digest::Decode("\x93\x01\x02\x03").has_value());
  const auto bytes = Digest{}.Encode();
  CHECK_FALSE(Digest::Decode(bytes.substr(0, bytes.size() - 1)).has_value());
}
