// Calls one endpoint of a plain service.

#ifndef SERVICES_ROUTER_SERVICE_CALLER_H_
#define SERVICES_ROUTER_SERVICE_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibHttp/client.h"
#include "Services/Router/endpoint_directory.h"

namespace wasabi::router {

// Parameters of one call.
struct ServiceCall {
  core::PoolId pool;
  std::string path;
  std::string request_id;
  std::string idempotency_key;
  std::string trace_parent;
  std::string body;
  // Number of this attempt, starting at 1.
  uint32_t attempt = 1;
  core::TimePoint deadline;
};

// Selects an endpoint and makes one HTTP call. All pointers must outlive it.
class ServiceCaller {
 public:
  // Receives a complete HTTP response or an error. After kNoEndpoint,
  // kDeadlineTooShort and kPeerUnreachable the call certainly did not run;
  // after any other error it may have run.
  using Callback = std::function<void(absl::StatusOr<http::ClientResponse>)>;

  ServiceCaller(core::EventLoop* loop,
                http::Client* client,
                core::EventRing* events,
                EndpointDirectory* directory);

  // Makes one attempt on the available endpoint with the fewest calls in flight
  // from this router.
  void Call(const ServiceCall& call, Callback callback);

 private:
  // Returns the endpoint to call, or nullptr if none is available.
  const platform::ListedHost* PickEndpoint(const core::PoolId& pool) const;

  core::EventLoop* loop_;
  http::Client* client_;
  core::EventRing* events_;
  EndpointDirectory* directory_;
  // Number of calls in flight, by endpoint id.
  std::map<std::string, int> in_flight_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_SERVICE_CALLER_H_
