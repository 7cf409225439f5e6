#include "LibForwarding/carrier_directory.h"

namespace wasabi::forwarding {

namespace {

// A host that could not carry a request is not asked again for this long.
constexpr core::Duration kAvoidTime = core::seconds(1);
// With this many such hosts, the whole data centre may be cut off.
constexpr size_t kMaxAvoidedNear = 2;

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
  size_t avoided_near = 0;
  for (const Carrier& it : carriers_) {
    const bool is_near = it.data_centre == data_centre_;
    const bool is_avoided = avoided_until_.contains(it.host);
    avoided_near += is_near && is_avoided ? 1 : 0;
    if (!is_avoided && !tried.contains(it.host)) {
      (is_near ? near : far).push_back(&it);
    }
  }
  const bool prefers_near = tried.empty() && avoided_near < kMaxAvoidedNear;
  const bool takes_near = !near.empty() && (prefers_near || far.empty());
  const std::vector<const Carrier*>& choice = takes_near ? near : far;
  if (choice.empty()) {
    return std::nullopt;
  }
  return *choice[random_.Below(choice.size())];
}

}  // namespace wasabi::forwarding
