#include "servers/settings/settings_watch.h"

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

SettingsWatch::SettingsWatch(Options aOptions,
                             Executor& aExecutor,
                             std::function<void()> aOnChanged)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
  , mOnChanged(std::move(aOnChanged))
  , mText(ReadFile(mOptions.file))
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Look(); });
}

void
SettingsWatch::Look()
{
  mTimer = mExecutor.RunAfter(mOptions.interval, [this] { Look(); });
  auto text = ReadFile(mOptions.file);
  if (!text.empty() && text != mText) {
    mText = std::move(text);
    mOnChanged();
  }
}

} // namespace firefly
