#include "LibForwarding/crash_report.h"

namespace wasabi::forwarding {

namespace {

// Maximum number of ids in a datagram, at nine bytes each.
constexpr size_t kMaxIds = 100;

}  // namespace

std::vector<CrashReport> SplitReport(const CrashReport& report) {
  const CrashReport empty{.crash_id = report.crash_id,
                          .age_milliseconds = report.age_milliseconds,
                          .in_flight = {},
                          .cleared = {}};
  std::vector<CrashReport> reports = {empty};
  const auto add = [&](SuspectIds CrashReport::*ids, SuspectKind kind,
                       uint64_t id) {
    CrashReport* last = &reports.back();
    if (last->in_flight.size() + last->cleared.size() >= kMaxIds) {
      last = &reports.emplace_back(empty);
    }
    (last->*ids).Add({.kind = kind, .id = id});
  };
  for (SuspectIds CrashReport::*ids :
       {&CrashReport::in_flight, &CrashReport::cleared}) {
    for (const uint64_t it : (report.*ids).parts) {
      add(ids, SuspectKind::kPart, it);
    }
    for (const uint64_t it : (report.*ids).contents) {
      add(ids, SuspectKind::kContent, it);
    }
  }
  return reports;
}

}  // namespace wasabi::forwarding
