#include "servers/settings/settings_watcher.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace firefly {

namespace {

std::string
ReadFile(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace

SettingsWatcher::SettingsWatcher(Options aOptions,
                                 Executor& aExecutor,
                                 std::function<void()> aOnChanged)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mOnChanged(std::move(aOnChanged))
  , mLastText(ReadFile(mOptions.file))
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { CheckFile(); });
}

void
SettingsWatcher::CheckFile()
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { CheckFile(); });
  auto text = ReadFile(mOptions.file);
  if (!text.empty() && text != mLastText) {
    mLastText = std::move(text);
    mOnChanged();
  }
}

} // namespace firefly
