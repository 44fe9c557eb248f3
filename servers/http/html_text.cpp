#include "servers/http/html_text.h"

namespace firefly {

std::string
EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char it : aText) {
    switch (it) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += it;
    }
  }
  return escaped;
}

} // namespace firefly
