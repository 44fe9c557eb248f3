#include "tests/stand_ins/engine/token_text.h"

#include "core/random.h"

namespace firefly::testing {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;

std::uint64_t
HashOf(const std::string& aText)
{
  std::uint64_t hash = kFnvOffset;
  for (const unsigned char c : aText) {
    hash = (hash ^ c) * kFnvPrime;
  }
  return hash;
}

} // namespace

std::string
TokenAt(const std::string& aPrompt, std::uint64_t aSeed, std::uint32_t aIndex)
{
  constexpr std::uint64_t kLetters = 26;
  Random random(HashOf(aPrompt) ^ (aSeed * kFnvPrime) ^ aIndex);
  std::string token = std::to_string(aIndex);
  for (int i = 0; i < 4; ++i) {
    token += static_cast<char>('a' + random.Below(kLetters));
  }
  return token + ' ';
}

std::string
TextOf(const std::string& aPrompt, std::uint64_t aSeed, std::uint32_t aTokens)
{
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += TokenAt(aPrompt, aSeed, i);
  }
  return text;
}

} // namespace firefly::testing
