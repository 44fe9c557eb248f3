#pragma once

// The allowed range of a number in the settings or in the operators' table.

namespace firefly {

// An inclusive range.
template<typename T>
struct SettingRange
{
  T min;
  T max;
};

} // namespace firefly
