#include "Tests/Support/Engine/engine_faults.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::support {

namespace {

struct FaultName {
  std::string_view name;
  FaultKind kind;
};

constexpr std::array kFaultNames = {
    FaultName{"crash_on_digest", FaultKind::kCrashOnDigest},
    FaultName{"crash_on_text", FaultKind::kCrashOnText},
    FaultName{"crash", FaultKind::kCrash},
    FaultName{"freeze", FaultKind::kFreeze},
    FaultName{"cross", FaultKind::kCross},
    FaultName{"cut", FaultKind::kCut},
    FaultName{"late", FaultKind::kLate},
    FaultName{"duplicate_chunks", FaultKind::kDuplicateChunks},
    FaultName{"silence_open", FaultKind::kSilenceOpen},
    FaultName{"refuse", FaultKind::kRefuse},
    FaultName{"no_load_reports", FaultKind::kNoLoadReports},
    FaultName{"leave", FaultKind::kLeave},
};

// Upper bound on the duration of a fault, so that a wrong value can't hang a
// test.
constexpr int64_t kMaxDurationMs = 120'000;

}  // namespace

absl::StatusOr<Fault> FaultFromJson(const nlohmann::json& json) {
  const std::string name = json.is_object() ? json.value("kind", "") : "";
  const auto it =
      std::find_if(kFaultNames.begin(), kFaultNames.end(),
                   [&](const FaultName& row) { return row.name == name; });
  if (it == kFaultNames.end()) {
    return core::MakeStatus(core::ResultCode::kMalformedRequest,
                            fmt::format("unknown fault kind \"{}\"", name));
  }
  Fault fault;
  fault.kind = it->kind;
  fault.text = json.value("text", "");
  fault.tokens = json.value("tokens", 0U);
  fault.count = json.value("count", 1U);
  const int64_t duration_ms = json.value("duration_ms", int64_t{0});
  fault.duration = core::milliseconds(std::min(duration_ms, kMaxDurationMs));
  return fault;
}

bool FaultSet::Take(FaultKind kind, Fault* fault) {
  const auto it =
      std::find_if(faults_.begin(), faults_.end(),
                   [&](const Fault& row) { return row.kind == kind; });
  if (it == faults_.end()) {
    return false;
  }
  *fault = *it;
  if (--it->count == 0) {
    faults_.erase(it);
  }
  return true;
}

bool FaultSet::CrashesProcess(const std::string& digest,
                              const std::string& content) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& it) {
    if (it.kind == FaultKind::kCrashOnDigest) {
      return it.text == digest;
    }
    return it.kind == FaultKind::kCrashOnText &&
           content.find(it.text) != std::string::npos;
  });
}

}  // namespace wasabi::support
