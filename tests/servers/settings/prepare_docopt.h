#pragma once

// docopt compiles its regular expressions on first use and never frees them.

namespace firefly {

// Makes docopt compile its regular expressions. Call it before the first test:
// otherwise the leak detector attributes them to the test that first uses
// docopt. False if parsing fails.
bool
PrepareDocopt();

} // namespace firefly
