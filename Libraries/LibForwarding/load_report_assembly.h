// Puts the parts of load reports together.

#ifndef LIBFORWARDING_LOAD_REPORT_ASSEMBLY_H_
#define LIBFORWARDING_LOAD_REPORT_ASSEMBLY_H_

#include <cstdint>
#include <optional>
#include <set>

#include "LibForwarding/load_report.h"

namespace wasabi::forwarding {

// The parts of one sender.
class LoadReportAssembly {
 public:
  // Returns the whole report if `part` was the last one missing. A part of
  // another report discards the parts so far.
  std::optional<LoadReport> Add(const LoadReport& part);

 private:
  LoadReport merged_;
  std::set<uint32_t> received_parts_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_REPORT_ASSEMBLY_H_
