// A runner's load that its owner did not start itself, from the runner's own
// reports. A new owner counts it until its predecessor's hand-over arrives.

#ifndef LIBROUTING_REPORT_FLOOR_H_
#define LIBROUTING_REPORT_FLOOR_H_

#include "LibCore/time.h"
#include "LibRouting/load_cap.h"

namespace wasabi::routing {

class ReportFloor {
 public:
  // Counts reports again, for a bounded time: ownership may have been shared.
  void Require();

  // Stops counting reports.
  void Clear();

  // Notes a report. `own` is the part of it that this owner started.
  void Observe(const RunnerLoad& reported,
               const RunnerLoad& own,
               core::TimePoint now);

  // The load that others started; zero once cleared, or when the time is over.
  RunnerLoad Foreign(core::TimePoint now) const;

 private:
  // A report can't hold capacity back for longer than this after the first
  // one, nor when no later report confirmed it.
  static constexpr core::Duration kLifetime = std::chrono::seconds(60);
  static constexpr core::Duration kReportLifetime = std::chrono::seconds(5);

  bool is_required_ = true;
  bool has_report_ = false;
  core::TimePoint first_report_;
  core::TimePoint last_report_;
  RunnerLoad foreign_;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_REPORT_FLOOR_H_
