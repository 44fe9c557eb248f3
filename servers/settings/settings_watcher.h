#pragma once

// Watches a settings file by polling, so that a change needs no signal.

#include <filesystem>
#include <functional>
#include <string>

#include "core/executor.h"

namespace firefly {

class SettingsWatcher
{
public:
  struct Options
  {
    std::filesystem::path file;
    // Time between two checks. Each check reads the whole file, which has a few
    // kilobytes.
    Duration interval = std::chrono::seconds(2);
  };

  // Calls back after each change of the file's text. An empty or unreadable
  // file does not count as changed.
  SettingsWatcher(Options aOptions,
                  Executor& aExecutor,
                  std::function<void()> aOnChanged);

private:
  void CheckFile();

  Options mOptions;
  Executor& mExecutor;
  std::function<void()> mOnChanged;
  std::string mLastText;
  Timer mTimer;
};

} // namespace firefly
