#pragma once

// Cuts a server-sent event stream into whole events, byte for byte, so that a
// stream that breaks off never reaches the caller with half an event.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

// One event as it came, its closing empty line included.
struct StreamEvent
{
  std::string bytes;
  // The value of its id field; empty if it has none.
  std::string id;
};

class EventSplitter
{
public:
  // Bytes of one event at most.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Takes bytes as they come and returns the events that are whole now.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  // Bytes of an event that is not whole yet.
  [[nodiscard]] std::size_t Partial() const { return mPartial.size(); }

  // Whether an event was larger than kMaxEventBytes: the stream is unusable.
  [[nodiscard]] bool Overflowed() const
  {
    return mPartial.size() > kMaxEventBytes;
  }

private:
  std::string mPartial;
};

} // namespace firefly
