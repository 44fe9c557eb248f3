#include "servers/control/table_commands.h"

#include <algorithm>
#include <set>

#include "servers/control/json_view.h"
#include "servers/control/text_table.h"

namespace firefly {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kEditTimeout = std::chrono::seconds(15);
constexpr const char* kTablePath = "/admin/table";

bool
SameTable(const std::string& aLeft, const std::string& aRight)
{
  const auto left = ParseTable(aLeft, nullptr);
  const auto right = ParseTable(aRight, nullptr);
  return left && right && *left == *right;
}

// Formats a time in milliseconds since 1970 as UTC.
std::string
FormatTime(double aMillis)
{
  const auto seconds = static_cast<std::time_t>(aMillis / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%F %TZ", &utc);
  return buf.data();
}

} // namespace

ExitCode
TableCommands::Export()
{
  const auto newest = FetchNewest();
  if (!newest) {
    return ExitCode::kUnreachable;
  }
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(
      { { "version", newest->version }, { "csv", newest->csv } });
    return ExitCode::kOk;
  }
  mOptions.out << newest->csv;
  mOptions.err << "version " << newest->version << '\n';
  return ExitCode::kOk;
}

ExitCode
TableCommands::Apply(const std::string& aCsv,
                     std::optional<std::uint64_t> aBase)
{
  if (!CheckRows(aCsv)) {
    return ExitCode::kUsage;
  }
  if (!aBase) {
    const auto newest = FetchNewest();
    if (!newest) {
      return ExitCode::kUnreachable;
    }
    aBase = newest->version;
  }
  const auto version = PostEdit(aCsv, *aBase);
  return version ? Wait(*version) : version.error();
}

ExitCode
TableCommands::Diff(const std::string& aCsv)
{
  if (!CheckRows(aCsv)) {
    return ExitCode::kUsage;
  }
  const auto newest = FetchNewest();
  if (!newest) {
    return ExitCode::kUnreachable;
  }
  const auto before = ParseTable(newest->csv, nullptr);
  const auto after = ParseTable(aCsv, nullptr);
  const auto text =
    FormatDiff(DiffTables(before.value_or(OperatorsTable{}), *after));
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(
      { { "version", newest->version }, { "changes", text } });
  } else {
    mOptions.out << text;
  }
  return ExitCode::kOk;
}

ExitCode
TableCommands::History()
{
  const auto found = ParseAnswers(QueryAll(
    mFetcher, mOptions.targets.entries, std::string(kTablePath) + "/history"));
  PrintFailures(mOptions.err, found.failures);
  if (found.objects.empty()) {
    return ExitCode::kUnreachable;
  }
  // Prints the longest history. Shorter ones belong to entries that started
  // later.
  const auto longest =
    std::ranges::max_element(found.objects, {}, [](const Json& aObject) {
      return ArrayOf(aObject, "versions").size();
    });
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(*longest);
    return ExitCode::kOk;
  }
  for (const auto& it : ArrayOf(*longest, "versions")) {
    mOptions.out << "version " << TextOf(it, "version") << ", seen "
                 << FormatTime(NumberOf(it, "seen_ms")) << ", "
                 << TextOf(it, "rows") << " rows\n"
                 << TextOf(it, "changes");
  }
  return ExitCode::kOk;
}

ExitCode
TableCommands::Wait(std::uint64_t aVersion)
{
  const Instant end = mFetcher.Now() + mOptions.timeout;
  while (true) {
    const auto confirmations = FetchConfirmations(aVersion);
    const bool allConfirmed = confirmations.answered &&
                              confirmations.pending.empty() &&
                              !confirmations.confirmed.empty();
    if (allConfirmed || mFetcher.Now() >= end) {
      PrintConfirmations(aVersion, confirmations);
      if (!confirmations.answered) {
        return ExitCode::kUnreachable;
      }
      return allConfirmed ? ExitCode::kOk : ExitCode::kPending;
    }
    mFetcher.Sleep(kPollInterval);
  }
}

std::optional<TableCommands::VersionedCsv>
TableCommands::FetchNewest()
{
  const auto found =
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.entries, kTablePath));
  PrintFailures(mOptions.err, found.failures);
  std::optional<VersionedCsv> newest;
  for (const auto& it : found.objects) {
    const auto version = static_cast<std::uint64_t>(NumberOf(it, "version"));
    if (!newest || version > newest->version) {
      newest = VersionedCsv{ .version = version, .csv = TextOf(it, "csv") };
    }
  }
  if (!newest) {
    mOptions.err << "no entry returned its table\n";
  }
  return newest;
}

// Reports invalid cells without querying an entry. The entry also checks that
// the services and request types exist.
bool
TableCommands::CheckRows(const std::string& aCsv)
{
  const auto table = ParseTable(aCsv, nullptr);
  if (table) {
    return true;
  }
  for (const auto& it : table.error()) {
    mOptions.err << it.Text() << '\n';
  }
  return false;
}

tl::expected<std::uint64_t, ExitCode>
TableCommands::PostEdit(const std::string& aCsv, std::uint64_t aBase)
{
  for (const auto& it : mOptions.targets.entries) {
    HttpCall call;
    call.method = "POST";
    call.url = it + kTablePath + "?base=" + std::to_string(aBase);
    call.headers = { { "Content-Type", "text/csv" } };
    call.body = aCsv;
    call.totalTimeout = kEditTimeout;
    call.freshConnection = true;
    const auto reply = mFetcher.Fetch(std::move(call));
    if (!reply && reply.error().kind == HttpErrorKind::kNotSent) {
      PrintFailures(mOptions.err, { { it, Describe(reply.error()) } });
      continue;
    }
    if (!reply) {
      PrintFailures(mOptions.err, { { it, Describe(reply.error()) } });
      return ResolveUnknownEdit(aCsv, aBase);
    }
    if (reply->status == 504) {
      return ResolveUnknownEdit(aCsv, aBase);
    }
    return ParseReply(*reply);
  }
  mOptions.err << "no entry could be reached; nothing changed\n";
  return tl::unexpected(ExitCode::kUnreachable);
}

tl::expected<std::uint64_t, ExitCode>
TableCommands::ParseReply(const HttpResult& aReply)
{
  const auto body = ParseObject(aReply.body).value_or(Json::object());
  if (aReply.status == 200) {
    return static_cast<std::uint64_t>(NumberOf(body, "version"));
  }
  if (aReply.status == 409) {
    mOptions.err << "another edit came first: the newest version is "
                 << TextOf(body, "version") << "; nothing changed\n";
    return tl::unexpected(ExitCode::kConflict);
  }
  if (aReply.status == 422) {
    for (const auto& it : ArrayOf(body, "problems")) {
      const TableProblem problem{
        .line = static_cast<std::size_t>(NumberOf(it, "line")),
        .column = TextOf(it, "column"),
        .message = TextOf(it, "message"),
      };
      mOptions.err << problem.Text() << '\n';
    }
    return tl::unexpected(ExitCode::kUsage);
  }
  mOptions.err << "not accepted: " << ProblemTitle(aReply)
               << "; nothing changed\n";
  return tl::unexpected(ExitCode::kFailed);
}

// Reads the table back from the entries to find out whether an edit whose
// outcome is unknown was accepted.
tl::expected<std::uint64_t, ExitCode>
TableCommands::ResolveUnknownEdit(const std::string& aCsv, std::uint64_t aBase)
{
  mOptions.err
    << "the outcome of the edit is unknown; reading the table back\n";
  const Instant end = mFetcher.Now() + mOptions.timeout;
  while (mFetcher.Now() < end) {
    const auto newest = FetchNewest();
    if (newest && newest->version == aBase + 1 &&
        SameTable(newest->csv, aCsv)) {
      return newest->version;
    }
    if (newest && newest->version > aBase) {
      mOptions.err << "version " << newest->version
                   << " is another edit; see the history\n";
      return tl::unexpected(ExitCode::kConflict);
    }
    mFetcher.Sleep(kPollInterval);
  }
  mOptions.err << "not known whether the edit was accepted; see the history\n";
  return tl::unexpected(ExitCode::kFailed);
}

// Merges the answers of all entries. A host counts as confirmed if one entry
// knows that it has the version, since an entry's version never decreases.
TableCommands::Confirmations
TableCommands::FetchConfirmations(std::uint64_t aVersion)
{
  const auto path =
    std::string(kTablePath) + "/confirmed?version=" + std::to_string(aVersion);
  const auto found =
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.entries, path));
  std::set<std::string> confirmed;
  std::set<std::string> pending;
  for (const auto& it : found.objects) {
    for (const auto& host : ArrayOf(it, "confirmed")) {
      confirmed.insert(host.is_string() ? host.get<std::string>() : "?");
    }
    for (const auto& host : ArrayOf(it, "pending")) {
      pending.insert(host.is_string() ? host.get<std::string>() : "?");
    }
  }
  Confirmations confirmations;
  confirmations.answered = !found.objects.empty();
  confirmations.confirmed.assign(confirmed.begin(), confirmed.end());
  std::ranges::set_difference(
    pending, confirmed, std::back_inserter(confirmations.pending));
  return confirmations;
}

void
TableCommands::PrintConfirmations(std::uint64_t aVersion,
                                  const Confirmations& aConfirmations)
{
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine({ { "version", aVersion },
                               { "confirmed", aConfirmations.confirmed },
                               { "pending", aConfirmations.pending } });
    return;
  }
  if (!aConfirmations.answered) {
    mOptions.err << "version " << aVersion << ": no entry answered\n";
    return;
  }
  mOptions.out << "version " << aVersion << " is in force at "
               << JoinArray(aConfirmations.confirmed) << '\n';
  if (!aConfirmations.pending.empty()) {
    mOptions.err << "not yet confirmed by " << JoinArray(aConfirmations.pending)
                 << '\n';
  }
}

} // namespace firefly
