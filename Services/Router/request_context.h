// State of a caller's request, filled in by the filter chain.

#ifndef SERVICES_ROUTER_REQUEST_CONTEXT_H_
#define SERVICES_ROUTER_REQUEST_CONTEXT_H_

#include <cstdint>
#include <string>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibHttp/exchange.h"
#include "LibIntent/configuration.h"
#include "LibRouting/work_item.h"

namespace wasabi::router {

// The filters fill in the fields in their order; the context is constant
// afterwards. The comments name the filter that sets the fields below them.
struct RequestContext {
  const http::Request* http = nullptr;
  core::TimePoint now;
  intent::ConfigurationView configuration;

  // Set by IdentifyFilter.
  core::RequestId request;
  core::OrganisationId organisation;
  const intent::Deployment* deployment = nullptr;
  double organisation_weight = 1.0;
  // In requests per second.
  double organisation_rate = 0;
  // Set by OrganisationLimitFilter for calls that may not be repeated: the
  // organisation exceeds its rate. The owner of the ledger partition then
  // decides how to respond.
  bool is_over_rate_limit = false;
  routing::Priority priority = routing::Priority::kNormal;
  core::TimePoint deadline;
  std::string trace_parent;

  // Set by ParseChatFilter.
  std::string model;
  core::ChatKey chat;
  bool is_streamed = false;
  routing::WorkSize size;
  uint64_t content_digest = 0;
  // JSON request body that is sent to the engine.
  std::string engine_body;

  // Set by ResolveModelFilter.
  const intent::ModelPool* model_pool = nullptr;

  // Set by ResolveServiceFilter.
  std::string service;
  std::string service_path;
  const intent::PlainService* plain_service = nullptr;
  std::string idempotency_key;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_REQUEST_CONTEXT_H_
