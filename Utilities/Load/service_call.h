// Client side of one call to a plain service. A call whose answer is lost is
// retried with the same idempotency key.

#ifndef UTILITIES_LOAD_SERVICE_CALL_H_
#define UTILITIES_LOAD_SERVICE_CALL_H_

#include <functional>
#include <memory>
#include <string>

#include "Utilities/Load/call_context.h"
#include "Utilities/Load/outcome.h"
#include "Utilities/Load/workload.h"

namespace wasabi::load {

class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
 public:
  using Callback = std::function<void(const ServiceOutcome& outcome)>;

  // Performs `plan` and calls `callback` exactly once, on the context's event
  // loop, with the outcome. `first_address` is the index of the host that is
  // tried first (modulo the number of hosts); it lets two calls with the same
  // key start at different hosts. `context` must outlive the call.
  static void Start(const CallContext* context,
                    const ServicePattern& service,
                    const ServiceCallPlan& plan,
                    size_t first_address,
                    Callback callback);

 private:
  ServiceCall(const CallContext* context,
              const ServicePattern& service,
              const ServiceCallPlan& plan,
              size_t first_address,
              Callback callback);

  void FindAddresses();
  void Send();
  void OnResponse(const absl::StatusOr<http::ClientResponse>& response);
  void RetryLater(core::Duration delay);
  void Finish(Ending ending, int code);

  const CallContext* context_;
  const ServicePattern service_;
  const ServiceCallPlan plan_;
  size_t next_address_;
  Callback callback_;
  ServiceOutcome outcome_;
  HostDirectory::Addresses addresses_;
  core::TimePoint started_;
  std::unique_ptr<core::Timer> retry_timer_;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_SERVICE_CALL_H_
