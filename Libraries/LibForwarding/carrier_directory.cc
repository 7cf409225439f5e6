#include "LibForwarding/carrier_directory.h"

namespace wasabi::forwarding {

namespace {

// A host that could not carry a request is not asked again for this long.
constexpr core::Duration kAvoidTime = core::seconds(1);

}  // namespace

void CarrierDirectory::RecordUnavailable(const core::HostId& host,
                                         core::TimePoint now) {
  avoided_until_[host] = now + kAvoidTime;
}

std::optional<Carrier> CarrierDirectory::Choose(
    const std::set<core::HostId>& tried,
    core::TimePoint now) {
  std::erase_if(avoided_until_,
                [now](const auto& it) { return now >= it.second; });
  std::vector<const Carrier*> near;
  std::vector<const Carrier*> far;
  for (const Carrier& it : carriers_) {
    if (tried.contains(it.host) || avoided_until_.contains(it.host)) {
      continue;
    }
    (it.data_centre == data_centre_ ? near : far).push_back(&it);
  }
  const std::vector<const Carrier*>& choice = near.empty() ? far : near;
  if (choice.empty()) {
    return std::nullopt;
  }
  return *choice[random_.Below(choice.size())];
}

}  // namespace wasabi::forwarding
