#include "policy/access/customer.h"

#include <cstring>

#include <sodium/utils.h>

namespace firefly::policy {

bool
KeyDigest::operator==(const KeyDigest& aOther) const
{
  return sodium_memcmp(mBytes.data(), aOther.mBytes.data(), kBytes) == 0;
}

std::size_t
KeyDigest::Hash() const
{
  std::size_t hash = 0;
  std::memcpy(&hash, mBytes.data(), sizeof(hash));
  return hash;
}

} // namespace firefly::policy
