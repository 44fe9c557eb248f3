#pragma once

// The bounds of a number that operators write.

namespace firefly {

// The least and the greatest value that a number may have.
template<typename T>
struct SettingRange
{
  T least;
  T most;
};

} // namespace firefly
