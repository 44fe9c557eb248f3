#include "policy/digest.h"

#include <tuple>
#include <utility>

#include <msgpack.hpp>

namespace firefly::policy {

namespace {

using WorkTuple =
  std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using RowTuple = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using ModelTuple = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using StageTuple = std::tuple<std::uint64_t,
                              std::uint32_t,
                              std::uint32_t,
                              std::uint32_t,
                              std::uint32_t>;
using SuspicionTuple = std::tuple<std::vector<std::uint64_t>,
                                  std::uint32_t,
                                  std::uint32_t,
                                  std::uint32_t,
                                  bool>;
// Digests of older versions end before the stages or before the crash
// suspicions.
using DigestTupleWithoutStages = std::tuple<std::string,
                                            std::uint64_t,
                                            std::uint64_t,
                                            std::vector<WorkTuple>,
                                            std::vector<RowTuple>,
                                            std::vector<ModelTuple>,
                                            std::vector<std::uint64_t>,
                                            std::vector<std::uint64_t>>;
using DigestTupleWithoutSuspicions =
  decltype(std::tuple_cat(std::declval<DigestTupleWithoutStages>(),
                          std::declval<std::tuple<std::vector<StageTuple>>>()));
using DigestTuple = decltype(std::tuple_cat(
  std::declval<DigestTupleWithoutSuspicions>(),
  std::declval<std::tuple<std::vector<SuspicionTuple>>>()));

DigestTuple
ToTuple(const Digest& aDigest)
{
  std::vector<WorkTuple> work;
  for (const auto& it : aDigest.work) {
    work.emplace_back(
      it.backend, it.requests, it.prefillTokens, it.speedPermille);
  }
  std::vector<RowTuple> rows;
  for (const auto& it : aDigest.rows) {
    rows.emplace_back(it.row, it.permillePerSecond, it.running);
  }
  std::vector<ModelTuple> models;
  for (const auto& it : aDigest.models) {
    models.emplace_back(
      it.model, it.promptTokensPerSecond, it.outputTokensPerSecond);
  }
  std::vector<StageTuple> stages;
  for (const auto& it : aDigest.stages) {
    stages.emplace_back(it.model,
                        it.prefillWork,
                        it.prefillWaiting,
                        it.decodeWork,
                        it.decodeWaiting);
  }
  std::vector<SuspicionTuple> suspicions;
  for (const auto& it : aDigest.crashSuspicions) {
    std::vector<std::uint64_t> traits;
    for (const auto& trait : it.traits) {
      traits.push_back(trait.Value());
    }
    suspicions.emplace_back(
      std::move(traits), it.clearances, it.crashes, it.trials, it.isContrasted);
  }
  return { aDigest.host.Value(), aDigest.incarnation.Value(),
           aDigest.sequence,     std::move(work),
           std::move(rows),      std::move(models),
           aDigest.quarantined,  aDigest.suspects,
           std::move(stages),    std::move(suspicions) };
}

Digest
FromTuple(const DigestTuple& aTuple)
{
  const auto& [host,
               incarnation,
               sequence,
               work,
               rows,
               models,
               quarantined,
               suspects,
               stages,
               suspicions] = aTuple;
  Digest digest{ .host = HostId(host),
                 .incarnation = Incarnation(incarnation),
                 .sequence = sequence,
                 .work = {},
                 .rows = {},
                 .models = {},
                 .quarantined = quarantined,
                 .suspects = suspects,
                 .stages = {},
                 .crashSuspicions = {} };
  for (const auto& [backend, requests, prefill, speed] : work) {
    digest.work.push_back({ backend, requests, prefill, speed });
  }
  for (const auto& [row, rate, running] : rows) {
    digest.rows.push_back({ row, rate, running });
  }
  for (const auto& [model, prompt, output] : models) {
    digest.models.push_back({ model, prompt, output });
  }
  for (const auto& [model, prefill, prefillWait, decode, decodeWait] : stages) {
    digest.stages.push_back(
      { model, prefill, prefillWait, decode, decodeWait });
  }
  for (const auto& [traits, clearances, crashes, trials, contrasted] :
       suspicions) {
    CrashSuspicion suspicion{ .traits = {},
                              .clearances = clearances,
                              .crashes = crashes,
                              .trials = trials,
                              .isContrasted = contrasted };
    for (const auto trait : traits) {
      suspicion.traits.emplace_back(trait);
    }
    digest.crashSuspicions.push_back(std::move(suspicion));
  }
  return digest;
}

} // namespace

std::string
Digest::Encode() const
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, ToTuple(*this));
  return { buf.data(), buf.size() };
}

tl::expected<Digest, DigestError>
Digest::Decode(const std::string& aBytes)
{
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    const auto& fields = handle.get();
    const auto size =
      fields.type == msgpack::type::ARRAY ? fields.via.array.size : 0;
    const std::tuple noStages(std::vector<StageTuple>{});
    const std::tuple noSuspicions(std::vector<SuspicionTuple>{});
    if (size == std::tuple_size_v<DigestTupleWithoutStages>) {
      return FromTuple(std::tuple_cat(
        fields.as<DigestTupleWithoutStages>(), noStages, noSuspicions));
    }
    if (size == std::tuple_size_v<DigestTupleWithoutSuspicions>) {
      return FromTuple(std::tuple_cat(fields.as<DigestTupleWithoutSuspicions>(),
                                      noSuspicions));
    }
    return FromTuple(fields.as<DigestTuple>());
  } catch (const std::exception& error) {
    return tl::make_unexpected(DigestError{ error.what() });
  }
}

} // namespace firefly::policy
