#include "servers/relay/event_splitter.h"

#include <algorithm>

namespace firefly {

namespace {

// Returns the end of the first complete event, or npos.
std::size_t
FindEventEnd(std::string_view aBytes)
{
  const auto plain = aBytes.find("\n\n");
  const auto withReturns = aBytes.find("\r\n\r\n");
  const auto plainEnd =
    plain == std::string_view::npos ? plain : plain + std::size_t{ 2 };
  const auto returnsEnd = withReturns == std::string_view::npos
                            ? withReturns
                            : withReturns + std::size_t{ 4 };
  return std::min(plainEnd, returnsEnd);
}

// Returns the value of the event's last id field, or an empty string.
std::string
FindId(std::string_view aEvent)
{
  constexpr std::string_view kId = "id:";
  std::string id;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kId)) {
      line.remove_prefix(kId.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      id = std::string(line);
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return id;
}

// Whether all lines of the event begin with a colon.
bool
IsComment(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    const auto line = aEvent.substr(0, end);
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return false;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return true;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::Feed(std::string_view aBytes)
{
  mPartial.append(aBytes);
  std::vector<StreamEvent> events;
  std::size_t used = 0;
  while (true) {
    const std::string_view rest = std::string_view(mPartial).substr(used);
    const auto end = FindEventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const auto event = rest.substr(0, end);
    events.push_back({ .bytes = std::string(event),
                       .id = FindId(event),
                       .isComment = IsComment(event) });
    used += end;
  }
  mPartial.erase(0, used);
  return events;
}

} // namespace firefly
