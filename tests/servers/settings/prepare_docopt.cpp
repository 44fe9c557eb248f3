#include "tests/servers/settings/prepare_docopt.h"

#include <array>
#include <string>

#include "servers/settings/command_line.h"

namespace firefly {

bool
PrepareDocopt()
{
  const std::array<const char*, 3> words{ "p", "--x", "1" };
  const std::string usage =
    "Usage:\n  p [--x N]\n\nOptions:\n  --x N  A number [default: 2].\n";
  return ParseArguments(usage, "1", words.size(), words.data()).has_value();
}

} // namespace firefly
