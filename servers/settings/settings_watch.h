#pragma once

// Notices that a settings file has changed without any signal.

#include <filesystem>
#include <functional>
#include <string>

#include "core/executor.h"

namespace firefly {

class SettingsWatch
{
public:
  struct Options
  {
    std::filesystem::path file;
    // Between two looks; a file of some kilobytes is read whole each time.
    Duration interval = std::chrono::seconds(2);
  };

  // Calls back after each change of the file's text. A file that can't be read
  // has not changed.
  SettingsWatch(Options aOptions,
                Executor& aExecutor,
                std::function<void()> aOnChanged);

private:
  void Look();

  Options mOptions;
  Executor& mExecutor;
  std::function<void()> mOnChanged;
  std::string mText;
  Timer mTimer;
};

} // namespace firefly
