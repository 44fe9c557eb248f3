#include "servers/entry/sse_reader.h"

#include <utility>

namespace firefly {

std::vector<std::string>
SseReader::Feed(std::string_view aBytes)
{
  std::vector<std::string> events;
  while (!aBytes.empty() && !mHasOverflowed) {
    const auto end = aBytes.find('\n');
    mPartialLine += aBytes.substr(0, end);
    mHasOverflowed = mPartialLine.size() + mEventData.size() > kMaxEventBytes;
    if (end == std::string_view::npos || mHasOverflowed) {
      break;
    }
    aBytes.remove_prefix(end + 1);
    ParseLine(mPartialLine, events);
    mPartialLine.clear();
  }
  return events;
}

void
SseReader::ParseLine(std::string_view aLine, std::vector<std::string>& aEvents)
{
  constexpr std::string_view kData = "data:";
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  if (aLine.empty()) {
    if (std::exchange(mHasData, false)) {
      aEvents.push_back(std::exchange(mEventData, {}));
    }
    return;
  }
  if (!aLine.starts_with(kData)) {
    return; // a comment, or a field that engines do not use
  }
  aLine.remove_prefix(kData.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (mHasData) {
    mEventData += '\n';
  }
  mEventData += aLine;
  mHasData = true;
}

} // namespace firefly
