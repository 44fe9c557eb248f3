#include "policy/routing_table.h"

#include <algorithm>
#include <utility>

#include "policy/fleet_view.h"

namespace firefly::policy {

namespace {

// Scales the upper 53 bits of a hash to [0, 1).
constexpr double kHashScale = 1.0 / 9007199254740992.0; // 2^53

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::ranges::transform(text, text.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                        : aChar;
  });
  return text;
}

} // namespace

const ServiceId&
Route::TargetFor(const RequestId& aId) const
{
  double sum = 0;
  for (const auto& it : targets) {
    sum += it.weight;
  }
  double draw =
    sum * static_cast<double>(StableHash(aId.Value()) >> 11) * kHashScale;
  for (const auto& it : targets) {
    draw -= it.weight;
    if (draw < 0) {
      return it.service;
    }
  }
  return targets.back().service;
}

RoutingTable::RoutingTable(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (std::size_t i = 0; i < mOptions.routes.size(); ++i) {
    const auto& route = mOptions.routes[i];
    mIndexByHostAndPrefix.emplace(
      std::pair(LowerCase(route.host), route.pathPrefix), i);
  }
  IndexCustomers();
}

void
RoutingTable::IndexCustomers()
{
  for (std::size_t i = 0; i < CustomerCount(); ++i) {
    const auto& customer = mOptions.customers->at(i);
    for (const auto& key : customer.keys) {
      const auto [it, isNew] = mCustomerByKey.emplace(key, i);
      if (!isNew && it->second &&
          mOptions.customers->at(*it->second).name != customer.name) {
        it->second.reset();
      }
    }
  }
}

std::size_t
RoutingTable::AmbiguousKeyCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mCustomerByKey, [](const auto& aEntry) { return !aEntry.second; }));
}

const Customer*
RoutingTable::FindCustomer(const KeyDigest& aKey) const
{
  const auto it = mCustomerByKey.find(aKey);
  return it == mCustomerByKey.end() || !it->second
           ? nullptr
           : &mOptions.customers->at(*it->second);
}

const Route*
RoutingTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = LowerCase(aHost);
  // Prefixes end with a slash, so only the parts of the path up to a slash can
  // match.
  auto path = aPath;
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      break;
    }
    path = path.substr(0, slash + 1);
    const auto it =
      mIndexByHostAndPrefix.find(std::pair(host, std::string(path)));
    if (it != mIndexByHostAndPrefix.end()) {
      return &mOptions.routes[it->second];
    }
    path.remove_suffix(1);
  }
  return nullptr;
}

Duration
RoutingTable::LongestStreamTimeout() const
{
  Duration longest{};
  for (const auto& it : mOptions.routes) {
    if (it.IsStream()) {
      longest = std::max(longest, it.timeout);
    }
  }
  return longest;
}

const ServiceTraits*
RoutingTable::Service(const ServiceId& aId) const
{
  const auto it = std::ranges::find(mOptions.services, aId, &ServiceTraits::id);
  return it == mOptions.services.end() ? nullptr : &*it;
}

} // namespace firefly::policy
