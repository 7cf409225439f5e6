#include "Tests/Support/FaultProxy/link_faults.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::support {

namespace {

struct KindName {
  std::string_view name;
  LinkFaultKind kind;
};

constexpr std::array kKindNames = {
    KindName{"cut", LinkFaultKind::kCut},
    KindName{"half_open", LinkFaultKind::kHalfOpen},
    KindName{"freeze", LinkFaultKind::kFreeze},
    KindName{"delay", LinkFaultKind::kDelay},
    KindName{"drop", LinkFaultKind::kDrop},
    KindName{"duplicate", LinkFaultKind::kDuplicate},
    KindName{"clear", LinkFaultKind::kClear},
};

}  // namespace

absl::StatusOr<LinkFault> LinkFaultFromJson(const nlohmann::json& json) {
  const std::string name = json.is_object() ? json.value("kind", "") : "";
  const auto it =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [&](const KindName& row) { return row.name == name; });
  if (it == kKindNames.end()) {
    return core::MakeStatus(core::ResultCode::kMalformedRequest,
                            fmt::format("unknown fault kind \"{}\"", name));
  }
  const std::string direction = json.value("direction", "both");
  LinkFault fault;
  fault.kind = it->kind;
  fault.affects_to_target = direction != "to_client";
  fault.affects_to_client = direction != "to_target";
  fault.duration = core::milliseconds(json.value("duration_ms", int64_t{0}));
  fault.delay = core::milliseconds(json.value("delay_ms", int64_t{0}));
  fault.share = json.value("share", 1.0);
  return fault;
}

void LinkFaults::Inject(const LinkFault& fault, core::TimePoint now) {
  if (fault.kind == LinkFaultKind::kClear) {
    active_ = {};
    return;
  }
  const bool is_endless = fault.duration == core::Duration::zero();
  const core::TimePoint end =
      is_endless ? core::TimePoint::max() : now + fault.duration;
  active_.at(static_cast<size_t>(fault.kind)) = Active{fault, end};
}

bool LinkFaults::IsFrozen(Direction direction, core::TimePoint now) const {
  return Find(LinkFaultKind::kFreeze, direction, now) != nullptr;
}

Treatment LinkFaults::Treat(Direction direction, core::TimePoint now) {
  Treatment treatment;
  if (const LinkFault* it = Find(LinkFaultKind::kDrop, direction, now)) {
    treatment.is_dropped = random_.Unit() < it->share;
  }
  if (const LinkFault* it = Find(LinkFaultKind::kDuplicate, direction, now)) {
    treatment.is_duplicated = random_.Unit() < it->share;
  }
  if (const LinkFault* it = Find(LinkFaultKind::kDelay, direction, now)) {
    treatment.delay = it->delay;
  }
  return treatment;
}

const LinkFault* LinkFaults::Find(LinkFaultKind kind,
                                  Direction direction,
                                  core::TimePoint now) const {
  const std::optional<Active>& it = active_.at(static_cast<size_t>(kind));
  if (!it || now >= it->end) {
    return nullptr;
  }
  const bool is_hit = direction == Direction::kToTarget
                          ? it->fault.affects_to_target
                          : it->fault.affects_to_client;
  return is_hit ? &it->fault : nullptr;
}

}  // namespace wasabi::support
