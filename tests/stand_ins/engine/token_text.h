#pragma once

// The text that the stand-in engine generates. It depends only on the prompt
// and the seed, so that tests can compare answers byte by byte.

#include <cstdint>
#include <string>

namespace firefly::testing {

// Returns the token at that index of the output.
std::string
TokenAt(const std::string& aPrompt, std::uint64_t aSeed, std::uint32_t aIndex);

// Returns the first aTokens tokens of the output as one text.
std::string
TextOf(const std::string& aPrompt, std::uint64_t aSeed, std::uint32_t aTokens);

} // namespace firefly::testing
