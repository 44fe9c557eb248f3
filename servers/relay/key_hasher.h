#pragma once

// Computes digests of API keys, so that the keys need not be held in memory.

#include <array>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "policy/access/customer.h"

namespace firefly {

// Why a hasher could not be created.
struct KeyHasherError
{
  std::string message;
};

// A keyed hash with a random hash key for each hasher. Digests can only be
// compared with those of the same hasher.
class KeyHasher
{
public:
  // Fails if the system provides no random numbers.
  static tl::expected<KeyHasher, KeyHasherError> Create();

  [[nodiscard]] policy::KeyDigest Hash(std::string_view aApiKey) const;

private:
  static constexpr std::size_t kHashKeyBytes = 32;

  KeyHasher() = default;

  std::array<unsigned char, kHashKeyBytes> mHashKey{};
};

} // namespace firefly
