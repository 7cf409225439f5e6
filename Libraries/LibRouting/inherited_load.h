// Estimates the load on a runner that its current owner did not start, based on
// the runner's load reports. A new owner counts this load until the previous
// owner has transferred its state.

#ifndef LIBROUTING_INHERITED_LOAD_H_
#define LIBROUTING_INHERITED_LOAD_H_

#include "LibCore/time.h"
#include "LibRouting/load_cap.h"

namespace wasabi::routing {

// Initially, inherited load is counted as soon as a report was recorded.
class InheritedLoad {
 public:
  // Starts counting inherited load again, for a limited time. Called when
  // another host may have acted as the owner in the meantime.
  void StartCounting();

  // Stops counting inherited load.
  void StopCounting();

  // Records a load report. `own` is the part of the reported load that this
  // owner started.
  void Observe(const RunnerLoad& reported,
               const RunnerLoad& own,
               core::TimePoint now);

  // Returns the load that other owners started, or zero if inherited load is
  // not counted or the reports have expired.
  RunnerLoad CurrentLoad(core::TimePoint now) const;

 private:
  // Inherited load reduces the capacity for at most kLifetime after the first
  // report, and for at most kReportLifetime after the latest report.
  static constexpr core::Duration kLifetime = std::chrono::seconds(60);
  static constexpr core::Duration kReportLifetime = std::chrono::seconds(5);

  bool is_counting_ = true;
  bool has_report_ = false;
  core::TimePoint first_report_;
  core::TimePoint last_report_;
  RunnerLoad load_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_INHERITED_LOAD_H_
