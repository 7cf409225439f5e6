// Tells the loss of this host's own path to the endpoints from the failure of
// single endpoints, from the outcomes of its new connections. Performs no I/O;
// the caller passes in the time.

#ifndef LIBFORWARDING_PATH_MONITOR_H_
#define LIBFORWARDING_PATH_MONITOR_H_

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class PathMonitor {
 public:
  // Records that a new connection to an endpoint was established. Open
  // connections prove nothing: they may outlive the path.
  void RecordConnected();
  // Records that a new connection to `endpoint` was refused or timed out.
  void RecordFailure(const core::RunnerId& endpoint, core::TimePoint now);

  // Returns whether the path is lost: new connections to several endpoints have
  // failed, and none was established since. Only RecordConnected ends that.
  bool is_lost() const { return is_lost_; }
  // Returns whether a new connection to `endpoint` has failed recently, and
  // none to any endpoint was established since.
  bool HasFailed(const core::RunnerId& endpoint) const {
    return failed_at_.contains(endpoint);
  }

 private:
  absl::flat_hash_map<core::RunnerId, core::TimePoint> failed_at_;
  bool is_lost_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PATH_MONITOR_H_
