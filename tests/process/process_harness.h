#pragma once

// Starts our programs as child processes on loopback, for tests of failures.

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "servers/http/http_client.h"

namespace firefly::testing {

// Generous: a condition that a test waits for holds long before, unless the
// program is wrong.
inline constexpr std::chrono::seconds kWaitLimit{ 60 };

// A TCP and UDP port of loopback that was free just now; each is given once.
std::uint16_t
FreePort();

// "http://127.0.0.1:PORT".
std::string
LoopbackUrl(std::uint16_t aPort);

// Checks the condition again and again; false when the limit is over.
bool
WaitFor(const std::function<bool()>& aCondition,
        std::chrono::seconds aLimit = kWaitLimit);

// A directory that is removed with its files at the end.
class TemporaryDirectory
{
public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  [[nodiscard]] const std::filesystem::path& Path() const { return mPath; }

  // Writes a file and returns its path.
  [[nodiscard]] std::filesystem::path Write(const std::string& aName,
                                            const std::string& aText) const;

private:
  std::filesystem::path mPath;
};

// One child process; it is killed and reaped at the end.
class ChildProcess
{
public:
  struct Options
  {
    std::filesystem::path program; // relative to the build directory
    std::vector<std::string> arguments = {};
    std::filesystem::path
      output = {}; // gets stdout and stderr; empty drops them
    // "NAME=VALUE", beside the test's own environment.
    std::vector<std::string> environment = {};
  };

  // Starts the process; Running() tells whether that worked.
  explicit ChildProcess(const Options& aOptions);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Kill();      // SIGKILL, and reaps
  void Freeze();    // SIGSTOP
  void Resume();    // SIGCONT
  void Terminate(); // SIGTERM

  // Whether it has not ended; a stopped one is running.
  [[nodiscard]] bool Running();

  // What waitpid gave, once the process has ended.
  [[nodiscard]] std::optional<int> Status();

  // Whether it was ended by that signal.
  [[nodiscard]] bool EndedBySignal(int aSignal);

  [[nodiscard]] pid_t Id() const { return mId; }

private:
  void Signal(int aSignal);

  pid_t mId = -1;
  std::optional<int> mStatus;
};

// HTTP calls that block, for tests outside of any executor.
class BlockingHttp
{
public:
  // Makes the call; the status is zero if there was no whole answer.
  HttpResult Ask(const std::string& aMethod,
                 const std::string& aUrl,
                 const std::string& aBody = "",
                 HttpHeaders aHeaders = {});

  // Whether a GET gives status 200.
  bool Succeeds(const std::string& aUrl);

  // Runs the executor until the condition holds; false when the limit is over.
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::seconds aLimit = kWaitLimit);

  // Runs the executor for that time.
  void RunFor(std::chrono::milliseconds aTime);

  // Servers and clients of the test live on it while calls block.
  AsioExecutor& Executor() { return mExecutor; }

private:
  AsioExecutor mExecutor;
  CurlClient mClient{ mExecutor, {} };
};

} // namespace firefly::testing
