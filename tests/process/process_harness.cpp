#include "tests/process/process_harness.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/helpers/run_until.h"

extern char** environ;

namespace firefly::testing {

namespace {

// Below the kernel's range of ephemeral ports for outgoing connections.
constexpr std::uint16_t kFirstPort = 20000;
constexpr std::uint16_t kPorts = 12000;
constexpr std::uint16_t kPortsOfProcess = 37;
constexpr auto kPollInterval = std::chrono::milliseconds(10);

bool
CanBind(std::uint16_t aPort, int aType)
{
  const int fd = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound =
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  close(fd);
  return bound == 0;
}

} // namespace

std::uint16_t
FindFreePort()
{
  static std::uint32_t next =
    static_cast<std::uint32_t>(getpid()) * kPortsOfProcess;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM)) {
      return port;
    }
  }
}

std::string
LoopbackUrl(std::uint16_t aPort)
{
  return "http://127.0.0.1:" + std::to_string(aPort);
}

bool
WaitFor(const std::function<bool()>& aCondition, std::chrono::seconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

TemporaryDirectory::TemporaryDirectory()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "firefly-XXXXXX").string();
  const char* made = mkdtemp(name.data());
  mPath = made == nullptr ? "" : made;
}

TemporaryDirectory::~TemporaryDirectory()
{
  std::error_code ec;
  std::filesystem::remove_all(mPath, ec);
}

std::filesystem::path
TemporaryDirectory::Write(const std::string& aName,
                          const std::string& aText) const
{
  std::filesystem::path file = mPath / aName;
  std::ofstream(file) << aText;
  return file;
}

ChildProcess::ChildProcess(const Options& aOptions)
{
  const std::string program =
    (std::filesystem::path(FIREFLY_BINARY_DIR) / aOptions.program).string();
  std::vector<std::string> words{ program };
  words.insert(
    words.end(), aOptions.arguments.begin(), aOptions.arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  auto settings = aOptions.environment;
  std::vector<char*> environment;
  environment.reserve(settings.size());
  for (std::string& it : settings) {
    environment.push_back(it.data());
  }
  for (char** it = environ; *it != nullptr; ++it) {
    environment.push_back(*it);
  }
  environment.push_back(nullptr);

  const std::string output =
    aOptions.output.empty() ? "/dev/null" : aOptions.output.string();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   S_IRUSR | S_IWUSR);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Otherwise the child would inherit the test's sockets and keep them open
  // after the test has closed them.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failed = posix_spawn(&mId,
                                 program.c_str(),
                                 &actions,
                                 nullptr,
                                 pointers.data(),
                                 environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    mId = -1;
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

std::size_t
ChildProcess::PeakMemoryBytes() const
{
  std::ifstream file("/proc/" + std::to_string(mId) + "/status");
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes) {
      return kilobytes << 10U;
    }
  }
  return 0;
}

std::size_t
ChildProcess::OpenDescriptors() const
{
  std::error_code ec;
  const std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(mId) + "/fd", ec);
  return ec ? 0
            : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void
ChildProcess::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(mId, aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (!IsRunning()) {
    return;
  }
  kill(mId, SIGKILL);
  int status = 0;
  waitpid(mId, &status, 0);
  mStatus = status;
}

void
ChildProcess::Freeze()
{
  Signal(SIGSTOP);
}

void
ChildProcess::Resume()
{
  Signal(SIGCONT);
}

void
ChildProcess::Terminate()
{
  Signal(SIGTERM);
}

bool
ChildProcess::IsRunning()
{
  return mId > 0 && !WaitStatus().has_value();
}

std::optional<int>
ChildProcess::WaitStatus()
{
  int status = 0;
  if (mId > 0 && !mStatus && waitpid(mId, &status, WNOHANG) == mId) {
    mStatus = status;
  }
  return mStatus;
}

bool
ChildProcess::WasKilledBySignal(int aSignal)
{
  const std::optional<int> status = WaitStatus();
  return status && WIFSIGNALED(*status) && WTERMSIG(*status) == aSignal;
}

HttpResult
BlockingHttp::SendRequest(const std::string& aMethod,
                          const std::string& aUrl,
                          const std::string& aBody,
                          HttpHeaders aHeaders)
{
  HttpCall call;
  call.method = aMethod;
  call.url = aUrl;
  call.body = aBody;
  call.headers = std::move(aHeaders);
  call.freshConnection = true;
  std::optional<HttpResult> answer;
  mClient.Fetch(std::move(call),
                [&](const tl::expected<HttpResult, HttpError>& aResult) {
                  answer = aResult.value_or(HttpResult{});
                });
  RunUntil([&] { return answer.has_value(); });
  return answer.value_or(HttpResult{});
}

bool
BlockingHttp::Succeeds(const std::string& aUrl)
{
  constexpr int kOk = 200;
  return SendRequest("GET", aUrl).status == kOk;
}

bool
BlockingHttp::RunUntil(const std::function<bool()>& aCondition,
                       std::chrono::seconds aLimit)
{
  return testing::RunUntil(mExecutor, aCondition, aLimit);
}

void
BlockingHttp::RunFor(std::chrono::milliseconds aTime)
{
  mExecutor.Context().restart();
  mExecutor.Context().run_for(aTime);
}

} // namespace firefly::testing
