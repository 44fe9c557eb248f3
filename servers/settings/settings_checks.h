#pragma once

// The checks that need more than one key: clashes between sections.

#include "servers/settings/section_reader.h"
#include "servers/settings/settings.h"

namespace firefly {

// Adds a line for each clash.
void
CheckClashes(const Settings& aSettings, SettingProblems& aProblems);

} // namespace firefly
