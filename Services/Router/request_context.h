// What the filter chain learns about a caller's request.

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

// Filled in by the filters, in their order, and constant afterwards.
struct RequestContext {
  const http::Request* http = nullptr;
  core::TimePoint now;
  intent::ConfigurationView configuration;

  // IdentifyFilter.
  core::RequestId request;
  core::OrganisationId organisation;
  const intent::Deployment* deployment = nullptr;
  double organisation_weight = 1.0;
  double organisation_rate = 0;
  // The organisation's rate is used up, which the ledger's owner tells the
  // caller of a call that may not be repeated.
  bool is_over_rate = false;
  routing::Priority priority = routing::Priority::kNormal;
  core::TimePoint deadline;
  std::string trace_parent;

  // ParseChatFilter.
  std::string model;
  core::ChatKey chat;
  bool is_streamed = false;
  routing::WorkSize size;
  uint64_t content_digest = 0;
  // The request as the engines get it.
  std::string engine_body;

  // ResolveModelFilter.
  const intent::ModelPool* model_pool = nullptr;

  // ResolveServiceFilter.
  std::string service;
  std::string service_path;
  const intent::PlainService* plain_service = nullptr;
  std::string idempotency_key;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_REQUEST_CONTEXT_H_
