#include "servers/table/table_admin.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kHistoryLength = 64;

enum Status : int
{
  kOk = 200,
  kBadRequest = 400,
  kNotFound = 404,
  kNotAllowed = 405,
  kConflict = 409,
  kTooLarge = 413,
  kUnprocessable = 422,
  kUnavailable = 503,
  kTimeout = 504,
};

HttpResponse
JsonResponse(int aStatus, const Json& aBody)
{
  return { .status = aStatus,
           .contentType =
             aStatus == kOk ? "application/json" : "application/problem+json",
           .headers = {},
           .body = aBody.dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

// A problem document as in RFC 9457. "execution" tells whether the edit took
// effect: "not-run" or "unknown".
HttpResponse
Problem(int aStatus, const std::string& aTitle, const std::string& aExecution)
{
  return JsonResponse(aStatus,
                      { { "title", aTitle },
                        { "status", aStatus },
                        { "execution", aExecution } });
}

std::optional<std::uint64_t>
ParseVersion(const std::string& aText)
{
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, version);
  if (aText.empty() || ec != std::errc{} || ptr != end) {
    return std::nullopt;
  }
  return version;
}

HttpResponse
ProblemsResponse(const TableProblems& aProblems)
{
  Json list = Json::array();
  for (const auto& it : aProblems) {
    list.push_back({ { "line", it.line },
                     { "column", it.column },
                     { "message", it.message } });
  }
  return JsonResponse(kUnprocessable,
                      { { "title", "the table has wrong lines" },
                        { "status", kUnprocessable },
                        { "execution", "not-run" },
                        { "problems", list } });
}

HttpResponse
ErrorResponse(const coord::TableError& aError)
{
  switch (aError.kind) {
    case coord::TableErrorKind::kConflict:
      return JsonResponse(kConflict,
                          { { "title", "another edit came first" },
                            { "status", kConflict },
                            { "execution", "not-run" },
                            { "version", aError.current.Value() } });
    case coord::TableErrorKind::kUnavailable:
      return Problem(kUnavailable, aError.message, "not-run");
    case coord::TableErrorKind::kTooLarge:
      return Problem(kTooLarge, aError.message, "not-run");
    case coord::TableErrorKind::kUnknown:
      break;
  }
  return Problem(kTimeout, aError.message, "unknown");
}

// The table of an accepted payload; empty before the first edit.
OperatorsTable
TableOf(const std::string& aPayload)
{
  return ParseTable(aPayload, nullptr).value_or(OperatorsTable{});
}

} // namespace

TableAdmin::TableAdmin(const Settings& aSettings,
                       const Executor& aExecutor,
                       TableStore& aStore,
                       const TableMembersView& aMembers)
  : mSettings(aSettings)
  , mExecutor(aExecutor)
  , mStore(aStore)
  , mMembers(aMembers)
{
}

void
TableAdmin::Handle(const HttpRequest& aRequest, const Answer& aAnswer)
{
  const std::string path = kPath;
  if (aRequest.path == path && aRequest.method == "POST") {
    Edit(aRequest, aAnswer);
    return;
  }
  if (aRequest.method != "GET") {
    aAnswer(Problem(kNotAllowed, "must be GET", "not-run"));
    return;
  }
  if (aRequest.path == path) {
    aAnswer(GetTable());
  } else if (aRequest.path == path + "/history") {
    aAnswer(GetHistory());
  } else if (aRequest.path == path + "/confirmed") {
    aAnswer(GetConfirmed(aRequest));
  } else {
    aAnswer(Problem(kNotFound, "no such path", "not-run"));
  }
}

void
TableAdmin::RecordVersion(const coord::Snapshot& aSnapshot)
{
  mHistory.push_back({ .version = aSnapshot.version,
                       .seenAt = mExecutor.WallNow(),
                       .payload = aSnapshot.payload });
  if (mHistory.size() > kHistoryLength) {
    mHistory.pop_front();
  }
}

HttpResponse
TableAdmin::GetTable() const
{
  const auto current = mStore.Current();
  if (!current) {
    return Problem(kUnavailable, "no table is known here yet", "not-run");
  }
  // Before the first edit, shows the default table of the settings, which
  // operators can edit.
  const bool isEdited = current->version.Value() > 0;
  const std::string csv =
    isEdited ? current->payload : FormatTable(MakeDefaultTable(mSettings));
  return JsonResponse(
    kOk, { { "version", current->version.Value() }, { "csv", csv } });
}

HttpResponse
TableAdmin::GetHistory() const
{
  Json list = Json::array();
  OperatorsTable before;
  for (const auto& it : mHistory) {
    const auto table = TableOf(it.payload);
    list.push_back({ { "version", it.version.Value() },
                     { "seen_ms", it.seenAt.time_since_epoch().count() },
                     { "rows", table.Rows().size() },
                     { "changes", FormatDiff(DiffTables(before, table)) } });
    before = table;
  }
  return JsonResponse(kOk, { { "versions", list } });
}

HttpResponse
TableAdmin::GetConfirmed(const HttpRequest& aRequest) const
{
  const auto version = ParseVersion(aRequest.QueryValue("version"));
  if (!version) {
    return Problem(kBadRequest, "version must be a whole number", "not-run");
  }
  Json confirmed = Json::array();
  Json pending = Json::array();
  for (const auto& it : mMembers.TableMembers()) {
    if (!it.live) {
      continue;
    }
    const bool has = it.version.Value() >= *version;
    (has ? confirmed : pending).push_back(it.host.Value());
  }
  return JsonResponse(kOk,
                      { { "version", *version },
                        { "confirmed", confirmed },
                        { "pending", pending } });
}

void
TableAdmin::Edit(const HttpRequest& aRequest, const Answer& aAnswer)
{
  const auto base = ParseVersion(aRequest.QueryValue("base"));
  if (!base) {
    aAnswer(Problem(kBadRequest, "base must be a whole number", "not-run"));
    return;
  }
  const auto table = ParseTable(aRequest.body, &mSettings);
  if (!table) {
    aAnswer(ProblemsResponse(table.error()));
    return;
  }
  mStore.Apply(
    TableVersion(*base),
    FormatTable(*table),
    [aAnswer](const tl::expected<TableVersion, coord::TableError>& aResult) {
      aAnswer(aResult ? JsonResponse(kOk, { { "version", aResult->Value() } })
                      : ErrorResponse(aResult.error()));
    });
}

} // namespace firefly
