#pragma once

// Strong types for identifiers and counts, so that mixing up two of different
// meaning is a compile error.

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace firefly {

// A value of its own type. The tag distinguishes types with the same
// representation.
template<typename Tag, typename Rep>
class StrongType
{
public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  // The underlying value, for codecs and logs.
  [[nodiscard]] constexpr const Rep& Value() const { return mValue; }

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  constexpr auto operator<=>(const StrongType&) const = default;
  constexpr bool operator==(const StrongType&) const = default;

private:
  Rep mValue{};
};

template<typename Tag, typename Rep>
std::ostream&
operator<<(std::ostream& aOut, const StrongType<Tag, Rep>& aId)
{
  return aOut << aId.Value();
}

} // namespace firefly

template<typename Tag, typename Rep>
struct std::hash<firefly::StrongType<Tag, Rep>>
{
  size_t operator()(const firefly::StrongType<Tag, Rep>& aId) const noexcept
  {
    return std::hash<Rep>{}(aId.Value());
  }
};
