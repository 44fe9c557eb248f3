#pragma once

// Describes callers' requests to the policies.

#include "policy/request_info.h"
#include "servers/entry/caller_request.h"

namespace firefly::policy {
class LimitKeeper;
}

namespace firefly {

// What the policies need to know of a model call. The table's row, where there
// is one, goes before the settings.
policy::RequestInfo
MakeRequestInfo(const ModelCall& aCall,
                const RequestId& aId,
                const policy::LimitKeeper& aLimits,
                Instant aArrival);

// The same of a plain call.
policy::RequestInfo
MakeRequestInfo(const PlainCall& aCall,
                const RequestId& aId,
                const policy::LimitKeeper& aLimits,
                Instant aArrival);

// Hashes of the prompt's leading blocks, each over all blocks up to it.
std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt);

// About how many tokens the text has.
policy::Tokens
EstimateTokens(const std::string& aText);

} // namespace firefly
