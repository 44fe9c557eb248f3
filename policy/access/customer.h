#pragma once

// Customers and the digests of their API keys. Keys themselves are not held.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/ids.h"

namespace firefly::policy {

// The keyed digest of an API key. Digests of different processes cannot be
// compared, since each process has its own random hash key.
class KeyDigest
{
public:
  static constexpr std::size_t kBytes = 32;
  using Bytes = std::array<unsigned char, kBytes>;

  KeyDigest() = default;
  explicit KeyDigest(const Bytes& aBytes)
    : mBytes(aBytes)
  {
  }

  // Takes the same time whichever bytes differ.
  bool operator==(const KeyDigest& aOther) const;

  // For hash tables. Digests are uniformly distributed, so a part of one is a
  // good hash.
  [[nodiscard]] std::size_t Hash() const;

private:
  Bytes mBytes{};
};

struct Customer
{
  CustomerId name;
  // The priority of the customer's requests, 0 being the most urgent; none
  // leaves them the priority of their route.
  std::optional<std::uint32_t> rank{};
  std::vector<KeyDigest> keys{};
};

} // namespace firefly::policy

template<>
struct std::hash<firefly::policy::KeyDigest>
{
  size_t operator()(const firefly::policy::KeyDigest& aDigest) const noexcept
  {
    return aDigest.Hash();
  }
};
