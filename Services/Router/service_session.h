// Runs one call to a repeatable plain service and retries it. Calls that may
// not be repeated go through the ledger instead.

#ifndef SERVICES_ROUTER_SERVICE_SESSION_H_
#define SERVICES_ROUTER_SERVICE_SESSION_H_

#include <functional>
#include <memory>

#include "LibCore/event_ring.h"
#include "LibHttp/exchange.h"
#include "Services/Router/request_context.h"
#include "Services/Router/service_caller.h"

namespace wasabi::router {

// Retries one call until it succeeds or its retries are exhausted. The pending
// call keeps the session alive.
class ServiceSession : public std::enable_shared_from_this<ServiceSession> {
 public:
  // Calls the service and responds to `exchange`. Retries up to `max_retries`
  // times, as long as `take_retry` returns true. `caller` and `events` must
  // outlive the session.
  static void Start(ServiceCaller* caller,
                    core::EventRing* events,
                    const std::shared_ptr<http::Exchange>& exchange,
                    const RequestContext& request,
                    uint32_t max_retries,
                    std::function<bool()> take_retry);

 private:
  ServiceSession(ServiceCaller* caller,
                 core::EventRing* events,
                 std::shared_ptr<http::Exchange> exchange,
                 const RequestContext& request,
                 uint32_t max_retries,
                 std::function<bool()> take_retry);

  void Attempt();
  void OnAnswer(absl::StatusOr<http::ClientResponse> response);

  ServiceCaller* caller_;
  core::EventRing* events_;
  std::shared_ptr<http::Exchange> exchange_;
  ServiceCall call_;
  uint32_t max_retries_;
  std::function<bool()> take_retry_;
};

// Responds to `exchange` with the HTTP status and body of the service.
void RespondServiceAnswer(const std::shared_ptr<http::Exchange>& exchange,
                          const std::string& request_id,
                          int http_status,
                          std::string body);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_SERVICE_SESSION_H_
