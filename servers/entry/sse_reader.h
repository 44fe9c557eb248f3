#pragma once

// Parses a stream of server-sent events into the data of its events.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

class SseReader
{
public:
  // Maximum size of one event.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Parses further bytes, split at any position, and returns the data of each
  // event that is now complete.
  std::vector<std::string> Feed(std::string_view aBytes);

  // Whether an event exceeded kMaxEventBytes. The rest of the stream is
  // ignored.
  [[nodiscard]] bool Overflowed() const { return mHasOverflowed; }

private:
  void ParseLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::string mPartialLine; // line received so far
  std::string mEventData;   // data of the current event
  bool mHasData = false;
  bool mHasOverflowed = false;
};

} // namespace firefly
