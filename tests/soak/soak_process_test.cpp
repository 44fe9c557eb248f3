// Runs a soak for each seed of tests/soak/seeds.txt. The soaks run at the same
// time, each in its own process.

#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/process/process_harness.h"

#include <CppUTest/TestHarness.h>

using firefly::testing::ChildProcess;
using firefly::testing::TemporaryDirectory;
using firefly::testing::WaitFor;

namespace {

// Startup, faults, recovery and the last requests take less than a minute. The
// limit is longer, because the soaks share one loaded machine.
constexpr std::chrono::seconds kLimit{ 150 };

struct Soak
{
  std::string name;
  std::filesystem::path output;
  std::unique_ptr<ChildProcess> process;
};

std::string
ReadFile(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

std::vector<Soak>
StartSoaks(const std::filesystem::path& aDirectory)
{
  std::vector<Soak> soaks;
  std::ifstream seeds(FIREFLY_SOURCE_DIR "/tests/soak/seeds.txt");
  std::string line;
  while (std::getline(seeds, line)) {
    std::istringstream words(line.substr(0, line.find('#')));
    std::string seed;
    std::string faultsFor;
    std::string gap;
    if (!(words >> seed >> faultsFor >> gap)) {
      continue;
    }
    const auto output = aDirectory / (seed + ".txt");
    soaks.push_back(
      { .name = seed,
        .output = output,
        .process = std::make_unique<ChildProcess>(
          ChildProcess::Options{ .program = "tests/soak/firefly-soak",
                                 .arguments = { "--seed",
                                                seed,
                                                "--faults-for",
                                                faultsFor,
                                                "--fault-gap-ms",
                                                gap },
                                 .output = output }) });
  }
  return soaks;
}

} // namespace

TEST_GROUP(SoakProcessTest){};

TEST(SoakProcessTest, NoSeedBreaksAPromise)
{
  const TemporaryDirectory directory;
  const auto soaks = StartSoaks(directory.Path());
  CHECK(soaks.size() >= 3);
  for (const auto& it : soaks) {
    CHECK_TRUE_TEXT(WaitFor([&] { return !it.process->IsRunning(); }, kLimit),
                    it.name.c_str());
    const auto text = ReadFile(it.output);
    LONGS_EQUAL_TEXT(0, it.process->WaitStatus().value_or(-1), text.c_str());
  }
}
