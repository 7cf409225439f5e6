// HTTP interface of a router for callers and operators.

#ifndef SERVICES_ROUTER_HTTP_FRONTEND_H_
#define SERVICES_ROUTER_HTTP_FRONTEND_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibHttp/exchange.h"
#include "Services/Router/chat_session.h"
#include "Services/Router/filter.h"
#include "Services/Router/request_context.h"

namespace wasabi::router {

// Dependencies of the frontend; the pointers must outlive it.
struct FrontendContext {
  SessionContext* session = nullptr;
  link::Link* link = nullptr;
  FilterChain* chat_filters = nullptr;
  FilterChain* service_filters = nullptr;
  std::function<intent::ConfigurationView()> configuration;
  std::function<bool()> is_stopping;
  std::function<bool()> is_ready;
  // Returns the state of the process as a JSON object.
  std::function<std::string()> status;
  // Runs a call to a plain service and responds to the exchange.
  std::function<void(const std::shared_ptr<http::Exchange>&,
                     const RequestContext&)>
      run_service_call;
};

// Dispatches requests by path and method to their handlers.
class HttpFrontend {
 public:
  explicit HttpFrontend(FrontendContext context);

  // Handles one request. The response may be sent after this function returns.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  using ExchangePointer = std::shared_ptr<http::Exchange>;
  using Handler = void (HttpFrontend::*)(const ExchangePointer&);
  struct Route;

  void ServeHealth(const ExchangePointer& exchange);
  void ServeMetrics(const ExchangePointer& exchange);
  void ServeEvents(const ExchangePointer& exchange);
  void ServeStatus(const ExchangePointer& exchange);
  void ServeHosts(const ExchangePointer& exchange);
  void ServeChat(const ExchangePointer& exchange);
  void ServeReattach(const ExchangePointer& exchange);
  void ServeService(const ExchangePointer& exchange);

  RequestContext NewContext(const http::Request& request) const;
  // Counts and records a rejected request and responds with `status`.
  void Refuse(const ExchangePointer& exchange,
              const RequestContext& context,
              const absl::Status& status);
  // Subscribes the caller to the stored answer of the same request, if there is
  // one that has the same content, starts at chunk 0 and has not failed.
  // Returns false otherwise.
  bool AttachToRunning(const ExchangePointer& exchange,
                       const RequestContext& context);
  // Returns the ownership name of the first-choice runner for the query's chat
  // and model, or an empty string if the query does not determine one.
  std::string PreferredRunner(const http::Request& request) const;
  // Creates a stream and keeps it alive until the exchange closes, because
  // answer records hold only weak references to their listeners.
  std::shared_ptr<CallerStream> NewStream(const ExchangePointer& exchange,
                                          bool is_streamed,
                                          const std::string& request_id);

  FrontendContext context_;
  core::EventRing* events_;
  core::Metrics* metrics_;
  std::map<const http::Exchange*, std::shared_ptr<CallerStream>> streams_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_HTTP_FRONTEND_H_
