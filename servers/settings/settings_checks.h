#pragma once

// Validates settings whose constraints involve several keys or sections.

#include "servers/settings/section_reader.h"
#include "servers/settings/settings.h"

namespace firefly {

// Adds an error for each violated constraint.
void
CheckConsistency(const Settings& aSettings, SettingProblems& aProblems);

} // namespace firefly
