// Holds the requests that arrive before a starting host has read its
// configuration and registrations.
//
// Load pattern: all hosts lost power and start within half a second. Their
// callers connect as soon as the address accepts connections; a refused one
// returns later than the host becomes ready, after its latency objective.
// Decision code without I/O: the caller supplies the time.

#ifndef SERVICES_FORWARDER_STARTUP_QUEUE_H_
#define SERVICES_FORWARDER_STARTUP_QUEUE_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "LibCore/time.h"
#include "LibHttp/transaction.h"

namespace wasabi::forwarder {

class StartupQueue {
 public:
  using TransactionPointer = std::shared_ptr<http::Transaction>;

  // Hosts read everything within 0.4 s of their start if the platform answers.
  static constexpr core::Duration kMaxHold = core::milliseconds(600);
  static constexpr size_t kMaxRequests = 512;
  // Limit of the bodies of all held requests.
  static constexpr size_t kMaxBytes = 8U << 20U;

  explicit StartupQueue(core::TimePoint started_at)
      : closes_at_(started_at + kMaxHold) {}

  // Holds the request. Returns false if the host started too long ago or holds
  // too much already; the request is to be refused then.
  bool Hold(const TransactionPointer& transaction, core::TimePoint now);

  // Returns whether requests that are held have to be refused, because the host
  // did not become ready in time.
  bool IsOver(core::TimePoint now) const { return now >= closes_at_; }

  bool empty() const { return held_.empty(); }

  // Returns the requests in the order of their arrival, without those whose
  // callers have left, and holds none of them any longer.
  std::vector<TransactionPointer> TakeAll();

 private:
  core::TimePoint closes_at_;
  std::vector<TransactionPointer> held_;
  size_t bytes_ = 0;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_STARTUP_QUEUE_H_
