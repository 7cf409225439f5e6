// What this host's own attempts tell of each endpoint: whether it can be
// reached, and which share of its requests fails. Pure decision code.

#ifndef LIBFORWARDING_ENDPOINT_MONITOR_H_
#define LIBFORWARDING_ENDPOINT_MONITOR_H_

#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class EndpointMonitor {
 public:
  // A whole answer arrived.
  void RecordSuccess(const core::RunnerId& endpoint, core::TimePoint now);
  // The endpoint answered with an error of its own, or improperly.
  void RecordFailure(const core::RunnerId& endpoint, core::TimePoint now);
  // No connection could be made, or an open one broke with the endpoint.
  void RecordUnreachable(const core::RunnerId& endpoint, core::TimePoint now);
  // The endpoint is gone or has started again.
  void Forget(const core::RunnerId& endpoint);

  // Whether the endpoint is held down after it could not be reached.
  bool IsDown(const core::RunnerId& endpoint, core::TimePoint now) const;
  // Recent share of failures, from 0 to 1.
  double FailureShare(const core::RunnerId& endpoint,
                      core::TimePoint now) const;

 private:
  struct Record {
    double failure_share = 0;
    core::TimePoint updated_at{};
    core::TimePoint down_until{};
    core::Duration hold_down{};
  };

  void Update(Record& record, double outcome, core::TimePoint now);

  absl::flat_hash_map<core::RunnerId, Record> records_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_MONITOR_H_
