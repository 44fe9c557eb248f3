#pragma once

// Cuts a server-sent event stream into its events' data.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

class SseReader
{
public:
  // Bytes of one event at most.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Takes bytes as they come and returns the data of each event that is whole.
  std::vector<std::string> Feed(std::string_view aBytes);

  // Whether an event was larger than kMaxEventBytes: the stream is unusable.
  [[nodiscard]] bool Overflowed() const { return mHasOverflowed; }

private:
  void ParseLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::string mPartialLine; // of a line
  std::string mEventData;   // of an event
  bool mHasData = false;
  bool mHasOverflowed = false;
};

} // namespace firefly
