#pragma once

// Splits a stream of server-sent events into whole events without changing a
// byte, so that a caller never receives a partial event when a stream breaks
// off.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

// One event as received, including the empty line that ends it.
struct StreamEvent
{
  std::string bytes;
  // The value of its id field; empty if it has none.
  std::string id;
  // All its lines are comments.
  bool isComment = false;
};

class EventSplitter
{
public:
  // Maximum size of one event.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Adds received bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  // Number of bytes of the event that is not complete yet.
  [[nodiscard]] std::size_t PartialBytes() const { return mPartial.size(); }

  // Returns true if the incomplete event exceeds kMaxEventBytes; the stream is
  // then unusable.
  [[nodiscard]] bool Overflowed() const
  {
    return mPartial.size() > kMaxEventBytes;
  }

private:
  std::string mPartial;
};

} // namespace firefly
