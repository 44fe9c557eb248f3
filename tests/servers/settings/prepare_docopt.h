#pragma once

// docopt compiles its patterns at their first use and keeps them for good.

namespace firefly {

// Has docopt compile its patterns; called before the first test, so that none
// of them counts the patterns as its leak. True unless parsing fails.
bool
PrepareDocopt();

} // namespace firefly
