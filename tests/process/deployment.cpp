#include "tests/process/deployment.h"

#include <sstream>

#include <nlohmann/json.hpp>

#include "servers/metrics/metrics_text.h"
#include "tests/helpers/run_until.h"

namespace firefly::testing {

namespace {

using Json = nlohmann::json;

const std::vector<std::string> kPortNames{
  "entry_port",       "entry_admin_port",  "entry_link_port",
  "gossip_port",      "steward_link_port", "steward_admin_port",
  "ledger_link_port", "ledger_admin_port",
};

std::string
HostName(int aHost)
{
  return "host-" + std::to_string(aHost + 1);
}

std::string
PortArgument(std::uint16_t aPort)
{
  return "--port=" + std::to_string(aPort);
}

} // namespace

Deployment::Deployment(const Options& aOptions)
  : mOptions(aOptions)
{
  PickPorts();
  mSettingsFile = mDirectory.Write("settings.toml", SettingsText()).string();
  StartStandIns();
  mEntries.resize(static_cast<std::size_t>(mOptions.hosts));
  mLedgers.resize(static_cast<std::size_t>(mOptions.hosts));
  mStewards.resize(static_cast<std::size_t>(mOptions.hosts));
  for (int i = 0; i < mOptions.hosts; ++i) {
    if (mOptions.ledgers) {
      StartLedger(i);
    }
    if (mOptions.stewards) {
      StartSteward(i);
    }
    StartEntry(i);
  }
  mReady = true;
  for (int i = 0; i < mOptions.hosts; ++i) {
    mReady = mReady && WaitUntilReady(i);
  }
}

void
Deployment::PickPorts()
{
  for (int i = 0; i < mOptions.hosts; ++i) {
    Ports ports;
    for (const auto& name : kPortNames) {
      ports.byName[name] = FindFreePort();
    }
    mHostPorts.push_back(ports);
  }
  for (int i = 0; i < mOptions.engines; ++i) {
    mEnginePorts.push_back(FindFreePort());
  }
  for (int i = 0; i < mOptions.services; ++i) {
    mServicePorts.push_back(FindFreePort());
  }
  mEnginePorts.insert(mEnginePorts.end(),
                      mOptions.enginePorts.begin(),
                      mOptions.enginePorts.end());
  mServicePorts.insert(mServicePorts.end(),
                       mOptions.servicePorts.begin(),
                       mOptions.servicePorts.end());
  mPlatformPort = FindFreePort();
}

std::string
Deployment::SettingsText() const
{
  std::ostringstream text;
  const auto platform = LoopbackUrl(mPlatformPort);
  text << "[platform]\nlog_url = \"" << platform << "/log\"\nhosts_url = \""
       << platform << "/hosts\"\nstore_url = \"" << platform
       << "/weights\"\nlog_prefix = \"test\"\npoll_ms = 100\n"
       << "request_timeout_ms = 1000\n[entry]\nrequest_timeout_ms = 60000\n"
       << "drain_timeout_ms = 60000\nunready_grace_ms = 1000\nstall_timeout_ms "
          "= 2000\n"
       << mOptions.entrySettings << "\n[ledger]\npartitions = 4\n"
       << "[charts]\ndirectory = \"" << FIREFLY_SOURCE_DIR << "/charts\"\n";
  for (int i = 0; i < mOptions.hosts; ++i) {
    text << "[[peers]]\nid = \"" << HostName(i) << "\"\ndomain = \"domain-"
         << i % 3 + 1 << "\"\naddress = \"127.0.0.1\"\n";
    for (const auto& [name, port] : mHostPorts[i].byName) {
      text << name << " = " << port << "\n";
    }
  }
  for (std::size_t i = 0; i < mEnginePorts.size(); ++i) {
    text << "[[backends]]\nid = \"engine-" << i + 1 << "\"\ndomain = \"domain-"
         << i % 3 + 1 << "\"\nkind = \"engine\"\nurl = \""
         << LoopbackUrl(mEnginePorts[i])
         << "\"\nchecks_fencing = true\nmodels = [\"demo-model\"]\nslots = "
         << mOptions.slots << "\n";
  }
  for (std::size_t i = 0; i < mServicePorts.size(); ++i) {
    text << "[[backends]]\nid = \"desk-" << i + 1 << "\"\ndomain = \"domain-"
         << i % 3 + 1 << "\"\nkind = \"plain\"\nservice = \"desk\"\nurl = \""
         << LoopbackUrl(mServicePorts[i]) << "\"\nslots = 16\n";
  }
  text << R"([[services]]
id = "assistant"
kind = "model"
model = "demo-model"
[[services.request_types]]
name = "question"
worth = 1.0
late_after_ms = 20000
[[services]]
id = "desk"
kind = "plain"
[[services.request_types]]
name = "lookup"
worth = 0.5
late_after_ms = 20000
idempotent = true
method = "GET"
path = "/items"
[[services.request_types]]
name = "book"
worth = 5.0
late_after_ms = 20000
idempotent = false
method = "POST"
path = "/bookings"
)";
  return text.str();
}

void
Deployment::StartStandIns()
{
  const std::string folder = "tests/stand_ins/";
  mPlatform = std::make_unique<ChildProcess>(ChildProcess::Options{
    .program = folder + "platform/firefly-standin-platform",
    .arguments = { PortArgument(mPlatformPort) },
    .output = {} });
  for (int i = 0; i < mOptions.engines; ++i) {
    const auto port = mEnginePorts[static_cast<std::size_t>(i)];
    mEngines.push_back(std::make_unique<ChildProcess>(ChildProcess::Options{
      .program = folder + "engine/firefly-standin-engine",
      .arguments = { PortArgument(port),
                     "--token-ms=" + mOptions.tokenMillis,
                     "--slots=" + mOptions.slots,
                     "--checks-fencing" },
      .output = {} }));
  }
  for (int i = 0; i < mOptions.services; ++i) {
    const auto port = mServicePorts[static_cast<std::size_t>(i)];
    mServices.push_back(std::make_unique<ChildProcess>(ChildProcess::Options{
      .program = folder + "service/firefly-standin-service",
      .arguments = { PortArgument(port) },
      .output = {} }));
  }
  for (int i = 0; i < mOptions.engines; ++i) {
    const auto url = EngineUrl(i) + "/state";
    WaitFor([&] { return mHttp.Succeeds(url); });
  }
  for (int i = 0; i < mOptions.services; ++i) {
    const auto url = ServiceUrl(i) + "/counts";
    WaitFor([&] { return mHttp.Succeeds(url); });
  }
  WaitFor([&] { return mHttp.Succeeds(PlatformUrl() + "/control"); });
}

std::unique_ptr<ChildProcess>
Deployment::StartDaemon(const std::string& aName, int aHost) const
{
  return std::make_unique<ChildProcess>(ChildProcess::Options{
    .program = "main/" + aName,
    .arguments = { "--settings", mSettingsFile, "--host", HostName(aHost) },
    .output = {} });
}

void
Deployment::StartEntry(int aHost)
{
  if (mOptions.entryLimits.empty()) {
    mEntries[aHost] = StartDaemon("firefly-entry", aHost);
    return;
  }
  auto arguments = mOptions.entryLimits;
  for (const auto& it : { std::string(FIREFLY_BINARY_DIR "/main/firefly-entry"),
                          std::string("--settings"),
                          mSettingsFile,
                          std::string("--host"),
                          HostName(aHost) }) {
    arguments.push_back(it);
  }
  mEntries[aHost] = std::make_unique<ChildProcess>(ChildProcess::Options{
    .program = "/usr/bin/prlimit", .arguments = arguments, .output = {} });
}

void
Deployment::StartLedger(int aHost)
{
  mLedgers[aHost] = StartDaemon("firefly-ledger", aHost);
}

void
Deployment::StartSteward(int aHost)
{
  mStewards[aHost] = StartDaemon("firefly-steward", aHost);
}

bool
Deployment::WaitUntilReady(int aHost)
{
  const auto url = AdminUrl(aHost) + "/readyz";
  return WaitFor([&] { return mHttp.Succeeds(url); });
}

std::string
Deployment::EntryUrl(int aHost) const
{
  return LoopbackUrl(mHostPorts[aHost].byName.at("entry_port"));
}

std::string
Deployment::AdminUrl(int aHost) const
{
  return LoopbackUrl(mHostPorts[aHost].byName.at("entry_admin_port"));
}

std::string
Deployment::StewardUrl(int aHost) const
{
  return LoopbackUrl(mHostPorts[aHost].byName.at("steward_admin_port"));
}

std::string
Deployment::EngineUrl(int aIndex) const
{
  return LoopbackUrl(mEnginePorts[aIndex]);
}

std::string
Deployment::ServiceUrl(int aIndex) const
{
  return LoopbackUrl(mServicePorts[aIndex]);
}

std::string
Deployment::PlatformUrl() const
{
  return LoopbackUrl(mPlatformPort);
}

double
Deployment::Metric(int aHost, const std::string& aName)
{
  const auto text = mHttp.SendRequest("GET", AdminUrl(aHost) + "/metrics").body;
  const auto samples = ParseMetrics(text);
  double sum = 0;
  for (const auto& it : samples.value_or(std::vector<MetricSample>{})) {
    sum += it.name == aName ? it.value : 0;
  }
  return sum;
}

std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream)
{
  return Json{
    { "model", "assistant" },
    { "prompt", aPrompt },
    { "max_tokens", aTokens },
    { "stream", aStream }
  }.dump();
}

StreamingCaller::StreamingCaller(const std::string& aEntryUrl,
                                 const std::string& aPrompt,
                                 int aTokens)
{
  HttpCall call;
  call.method = "POST";
  call.url = aEntryUrl + "/v1/completions";
  call.body = CompletionBody(aPrompt, aTokens, true);
  call.totalTimeout = kWaitLimit;
  mTransfer = mClient.Stream(
    std::move(call),
    { .onHead = [this](int aStatus,
                       const HttpHeaders&) { mAnswer.status = aStatus; },
      .onBody = [this](std::string_view aBytes) { HandleBytes(aBytes); },
      .onDone = [this](const auto&) { mEnded = true; } });
}

void
StreamingCaller::HandleBytes(std::string_view aBytes)
{
  mPartialLine += aBytes;
  for (auto end = mPartialLine.find('\n'); end != std::string::npos;
       end = mPartialLine.find('\n')) {
    HandleLine(mPartialLine.substr(0, end));
    mPartialLine.erase(0, end + 1);
  }
}

void
StreamingCaller::HandleLine(const std::string& aLine)
{
  const std::string mark = "data: ";
  if (aLine == "event: error") {
    mAnswer.error = true;
  }
  if (!aLine.starts_with(mark)) {
    return;
  }
  const auto data = aLine.substr(mark.size());
  if (data == "[DONE]") {
    mAnswer.done = true;
    return;
  }
  const auto piece = Json::parse(data, nullptr, false);
  if (piece.is_object() && piece.contains("choices")) {
    mAnswer.text += piece["choices"][0].value("text", "");
    ++mTokens;
  }
}

bool
StreamingCaller::WaitForTokens(std::size_t aTokens)
{
  RunUntil(
    mExecutor, [&] { return mTokens >= aTokens || mEnded; }, kWaitLimit);
  return mTokens >= aTokens;
}

const StreamedAnswer&
StreamingCaller::Wait()
{
  RunUntil(
    mExecutor, [&] { return mEnded; }, kWaitLimit);
  return mAnswer;
}

} // namespace firefly::testing
