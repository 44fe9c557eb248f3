#pragma once

// A small deployment of this project's programs on free ports of the loopback
// address, with stand-ins for the platform, the engines and a plain service.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/process_harness.h"

namespace firefly::testing {

// How a caller's streamed request ended.
struct StreamedAnswer
{
  int status = 0;
  std::string text;   // the text of all token events
  bool done = false;  // whether the end mark was received
  bool error = false; // whether an error event was received
};

class Deployment
{
public:
  struct Options
  {
    int hosts = 1;
    int engines = 2;
    int services = 1;
    bool ledgers = false;
    bool stewards = false;
    // The settings of each engine.
    std::string tokenMillis = "5";
    std::string slots = "8";
    // Additional lines for the [entry] section.
    std::string entrySettings = {};
    // Ports of engines and plain services that the test provides, in addition
    // to the stand-ins.
    std::vector<std::uint16_t> enginePorts = {};
    std::vector<std::uint16_t> servicePorts = {};
    // Arguments of prlimit for each entry, such as "--nofile=400".
    std::vector<std::string> entryLimits = {};
  };

  // Starts all processes and waits until each entry is ready, each for at most
  // kWaitLimit.
  explicit Deployment(const Options& aOptions);

  // Whether every entry became ready at the start.
  [[nodiscard]] bool IsReady() const { return mReady; }

  [[nodiscard]] ChildProcess& Entry(int aHost) { return *mEntries[aHost]; }
  [[nodiscard]] ChildProcess& Engine(int aIndex) { return *mEngines[aIndex]; }
  [[nodiscard]] ChildProcess& Platform() { return *mPlatform; }
  [[nodiscard]] ChildProcess& Ledger(int aHost) { return *mLedgers[aHost]; }

  // Base URLs.
  [[nodiscard]] std::string EntryUrl(int aHost) const;
  [[nodiscard]] std::string AdminUrl(int aHost) const;
  [[nodiscard]] std::string StewardUrl(int aHost) const;
  [[nodiscard]] std::string EngineUrl(int aIndex) const;
  [[nodiscard]] std::string ServiceUrl(int aIndex) const;
  [[nodiscard]] std::string PlatformUrl() const;

  // Starts a daemon, for the first time or again on the same ports. An earlier
  // daemon of the same kind on that host must have ended.
  void StartEntry(int aHost);
  void StartLedger(int aHost);
  void StartSteward(int aHost);
  // Returns false if the entry is not ready within kWaitLimit.
  bool WaitUntilReady(int aHost);

  // Returns the sum of all series of a metric at one entry, or 0 if there are
  // none.
  double Metric(int aHost, const std::string& aName);

  BlockingHttp& Http() { return mHttp; }

private:
  struct Ports
  {
    std::map<std::string, std::uint16_t> byName;
  };

  std::unique_ptr<ChildProcess> StartDaemon(const std::string& aName,
                                            int aHost) const;
  void PickPorts();
  void StartStandIns();
  [[nodiscard]] std::string SettingsText() const;

  Options mOptions;
  TemporaryDirectory mDirectory;
  BlockingHttp mHttp;
  std::vector<Ports> mHostPorts;
  std::vector<std::uint16_t> mEnginePorts;
  std::vector<std::uint16_t> mServicePorts;
  std::uint16_t mPlatformPort = 0;
  std::string mSettingsFile;
  std::unique_ptr<ChildProcess> mPlatform;
  std::vector<std::unique_ptr<ChildProcess>> mEngines;
  std::vector<std::unique_ptr<ChildProcess>> mServices;
  std::vector<std::unique_ptr<ChildProcess>> mLedgers;
  std::vector<std::unique_ptr<ChildProcess>> mStewards;
  std::vector<std::unique_ptr<ChildProcess>> mEntries;
  bool mReady = false;
};

// A streamed request with its own executor, which runs only while the test
// waits. Between waits the test can inject faults.
class StreamingCaller
{
public:
  // Sends the request.
  StreamingCaller(const std::string& aEntryUrl,
                  const std::string& aPrompt,
                  int aTokens);

  // Waits for that number of tokens. Returns false if the answer ended earlier
  // or kWaitLimit has passed.
  bool WaitForTokens(std::size_t aTokens);

  // Waits for the end of the answer, for at most kWaitLimit.
  const StreamedAnswer& Wait();

  // Stops reading until Resume().
  void Pause() { mTransfer->Pause(); }
  void Resume() { mTransfer->Resume(); }

private:
  void HandleBytes(std::string_view aBytes);
  void HandleLine(const std::string& aLine);

  AsioExecutor mExecutor;
  CurlClient mClient{ mExecutor, {} };
  HttpTransferPtr mTransfer;
  std::string mPartialLine;
  StreamedAnswer mAnswer;
  std::size_t mTokens = 0;
  bool mEnded = false;
};

// Returns the body of a completion request.
std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream);

} // namespace firefly::testing
