#include "Services/Router/resolve_filters.h"

#include "LibCore/result_code.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr size_t kMaxKeyBytes = 256;

}  // namespace

absl::Status ResolveModelFilter::Apply(RequestContext* context) {
  const auto it = context->deployment->models.find(context->model);
  if (it == context->deployment->models.end()) {
    return MakeStatus(ResultCode::kUnknownModel,
                      "the organisation's deployment has no such model");
  }
  context->model_pool = &it->second;
  return absl::OkStatus();
}

absl::Status ResolveServiceFilter::Apply(RequestContext* context) {
  const std::string rest = context->http->path.substr(kServicePrefix.size());
  const size_t slash = rest.find('/');
  context->service = rest.substr(0, slash);
  context->service_path = slash == std::string::npos ? "/" : rest.substr(slash);
  const auto it = context->deployment->services.find(context->service);
  if (it == context->deployment->services.end()) {
    return MakeStatus(ResultCode::kUnknownService,
                      "the organisation's deployment has no such service");
  }
  context->plain_service = &it->second;
  context->idempotency_key =
      context->http->headers.Get(http::kIdempotencyKeyHeader);
  if (context->idempotency_key.empty() &&
      !context->plain_service->is_repeatable) {
    return MakeStatus(
        ResultCode::kMissingIdempotencyKey,
        "calls to this service require an Idempotency-Key header");
  }
  if (context->idempotency_key.size() > kMaxKeyBytes) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "the Idempotency-Key is longer than 256 bytes");
  }
  return absl::OkStatus();
}

}  // namespace wasabi::router
