#include "LibForwarding/load_report_assembly.h"

namespace wasabi::forwarding {

std::optional<LoadReport> LoadReportAssembly::Add(const LoadReport& part) {
  if (part.sequence != merged_.sequence || received_parts_.empty()) {
    merged_ = {.sequence = part.sequence, .hosts = part.hosts};
    received_parts_.clear();
  }
  if (!received_parts_.insert(part.part).second) {
    return std::nullopt;
  }
  merged_.requests.Add(part.requests);
  if (received_parts_.size() < part.parts) {
    return std::nullopt;
  }
  received_parts_.clear();
  return merged_;
}

}  // namespace wasabi::forwarding
