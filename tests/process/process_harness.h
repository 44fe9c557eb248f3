#pragma once

// Helpers for failure tests that run this project's programs as child processes
// on the loopback address.

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

// The time limit of waits in tests. It is long, so that only a faulty program
// exceeds it and not a loaded machine.
inline constexpr std::chrono::seconds kWaitLimit{ 60 };

// Returns a loopback port that is free for TCP and UDP. Each call returns
// another port until the range of 12000 is used up.
std::uint16_t
FindFreePort();

// Returns "http://127.0.0.1:PORT".
std::string
LoopbackUrl(std::uint16_t aPort);

// Polls the condition every 10 ms. Returns false if it does not hold within the
// limit.
bool
WaitFor(const std::function<bool()>& aCondition,
        std::chrono::seconds aLimit = kWaitLimit);

// A temporary directory; the destructor removes it with its files.
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

// A child process; the destructor kills and reaps it.
class ChildProcess
{
public:
  struct Options
  {
    // Relative to the build directory.
    std::filesystem::path program;
    std::vector<std::string> arguments = {};
    // Receives stdout and stderr; if empty, they are discarded.
    std::filesystem::path output = {};
    // "NAME=VALUE" entries that are added to the test's own environment.
    std::vector<std::string> environment = {};
  };

  // Starts the process. If that fails, IsRunning() is false.
  explicit ChildProcess(const Options& aOptions);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Kill();      // SIGKILL, then reaps the process
  void Freeze();    // SIGSTOP
  void Resume();    // SIGCONT
  void Terminate(); // SIGTERM

  // Whether the process has not ended. A frozen process counts as running.
  [[nodiscard]] bool IsRunning();

  // The status from waitpid, once the process has ended.
  [[nodiscard]] std::optional<int> WaitStatus();

  // Whether the process was terminated by that signal.
  [[nodiscard]] bool WasKilledBySignal(int aSignal);

  [[nodiscard]] pid_t Id() const { return mId; }

  // The largest resident memory so far; 0 if the process has ended.
  [[nodiscard]] std::size_t PeakMemoryBytes() const;

  // The number of open descriptors; 0 if the process has ended.
  [[nodiscard]] std::size_t OpenDescriptors() const;

private:
  void Signal(int aSignal);

  pid_t mId = -1;
  std::optional<int> mStatus;
};

// Blocking HTTP calls, for tests that do not run in an executor.
class BlockingHttp
{
public:
  // Makes the call on a new connection. The status is 0 if no complete answer
  // arrived within kWaitLimit.
  HttpResult SendRequest(const std::string& aMethod,
                         const std::string& aUrl,
                         const std::string& aBody = "",
                         HttpHeaders aHeaders = {});

  // Whether a GET request is answered with status 200.
  bool Succeeds(const std::string& aUrl);

  // Runs the executor until the condition holds. Returns false if it does not
  // hold within the limit.
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::seconds aLimit = kWaitLimit);

  // Runs the executor for the given time.
  void RunFor(std::chrono::milliseconds aTime);

  // Servers and clients of the test can use this executor; it runs while a call
  // blocks.
  AsioExecutor& Executor() { return mExecutor; }

private:
  AsioExecutor mExecutor;
  CurlClient mClient{ mExecutor, {} };
};

} // namespace firefly::testing
