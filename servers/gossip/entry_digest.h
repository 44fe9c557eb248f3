#pragma once

// What an entry tells its peers by gossip: the version of its table and the
// digest of its policies, in a bounded number of bytes.

#include <optional>
#include <string>

#include "policy/digest.h"

namespace firefly {

struct EntryDigest
{
  TableVersion table;
  bool ready = false;
  policy::Digest work;
};

// The bytes, at most so many: the least work is left out first.
std::string
EncodeEntryDigest(EntryDigest aDigest, std::size_t aMaxBytes);

// The digest of the bytes, or nothing if they are none.
std::optional<EntryDigest>
DecodeEntryDigest(const std::string& aBytes);

} // namespace firefly
