#pragma once

// The digest that an entry or a relay publishes to its peers by gossip: the
// version of its routing table and the state of its policies, in a bounded
// number of bytes.

#include <optional>
#include <string>

#include "policy/digest.h"

namespace firefly {

struct MemberDigest
{
  TableVersion table;
  bool ready = false;
  policy::Digest work;
};

// Encodes a digest. If it exceeds aMaxBytes, the entries with the least work
// are left out first, then the crash suspicions and the fingerprints of
// quarantined and suspected requests. The result is longer than aMaxBytes only
// if the rest alone does not fit.
std::string
EncodeMemberDigest(MemberDigest aDigest, std::size_t aMaxBytes);

// Returns nothing if the bytes are not a valid digest.
std::optional<MemberDigest>
DecodeMemberDigest(const std::string& aBytes);

} // namespace firefly
