#include "servers/relay/key_hasher.h"

#include <CppUTest/TestHarness.h>

using firefly::KeyHasher;

TEST_GROUP(KeyHasherTest){};

// Guards against digests that two keys share, or that can be looked up in a
// list computed elsewhere.
TEST(KeyHasherTest, DigestsDependOnTheWholeKeyAndOnTheHasher)
{
  const auto hasher = *KeyHasher::Create();
  const auto other = *KeyHasher::Create();
  CHECK(hasher.Hash("key-1") == hasher.Hash("key-1"));
  CHECK_FALSE(hasher.Hash("key-1") == hasher.Hash("key-2"));
  CHECK_FALSE(hasher.Hash("key-1") == hasher.Hash("key-1 "));
  CHECK_FALSE(hasher.Hash("key-1") ==
              hasher.Hash(std::string_view("key-1\0", 6)));
  CHECK_FALSE(hasher.Hash("key-1") == other.Hash("key-1"));
}
