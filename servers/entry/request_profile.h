#pragma once

// Describes callers' requests for the policies.

#include "policy/request_info.h"
#include "servers/entry/caller_request.h"

namespace firefly::policy {
class RequestLimiter;
}

namespace firefly {

// Returns what the policies need to know about a model call. Values from the
// operators' table override those of the settings.
policy::RequestInfo
MakeRequestInfo(const ModelCall& aCall,
                const RequestId& aId,
                const policy::RequestLimiter& aLimits,
                Instant aArrival);

// Returns the same for a plain call.
policy::RequestInfo
MakeRequestInfo(const PlainCall& aCall,
                const RequestId& aId,
                const policy::RequestLimiter& aLimits,
                Instant aArrival);

// Returns hashes of the prompt's leading blocks. Each hash covers all blocks up
// to and including its own. A block has 256 bytes, about 64 tokens; at most 512
// blocks are hashed, and an incomplete last block is not.
std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt);

// Estimates the number of tokens in the text from its length.
policy::Tokens
EstimateTokens(const std::string& aText);

} // namespace firefly
