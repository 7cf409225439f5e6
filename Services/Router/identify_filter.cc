#include "Services/Router/identify_filter.h"

#include <algorithm>
#include <cctype>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;

constexpr size_t kMaxIdentifierBytes = 256;

// Identifiers appear in headers, logs and URLs, so they are limited to a small
// set of characters.
bool IsPlain(const std::string& text) {
  return text.size() <= kMaxIdentifierBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
                  c == ':' || c == '/';
         });
}

absl::StatusOr<routing::Priority> ParsePriority(const std::string& text) {
  if (text.empty() || text == "normal") {
    return routing::Priority::kNormal;
  }
  if (text == "urgent") {
    return routing::Priority::kUrgent;
  }
  if (text == "batch") {
    return routing::Priority::kBatch;
  }
  return MakeStatus(ResultCode::kMalformedRequest,
                    "X-Priority is not urgent, normal or batch");
}

absl::StatusOr<core::Duration> ParseDeadline(const std::string& text,
                                             const RouterSettings& settings) {
  if (text.empty()) {
    return settings.default_deadline;
  }
  const auto value = core::ParseNumber<int64_t>(text);
  if (!value || *value <= 0) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "X-Deadline-Ms is not a positive number");
  }
  const int64_t max_ms = core::ToMilliseconds(settings.max_deadline);
  return core::Duration(core::milliseconds(std::min(*value, max_ms)));
}

}  // namespace

IdentifyFilter::IdentifyFilter(const RouterSettings* settings,
                               uint64_t process_incarnation)
    : settings_(settings), process_incarnation_(process_incarnation) {}

absl::Status IdentifyFilter::Apply(RequestContext* context) {
  const http::Headers& headers = context->http->headers;
  const std::string organisation = headers.Get(http::kOrganisationHeader);
  const std::string request = headers.Get(http::kRequestIdHeader);
  context->request =
      request.empty() ? NextRequestId() : core::RequestId(request);
  if (!IsPlain(request)) {
    context->request = NextRequestId();
    return MakeStatus(
        ResultCode::kMalformedRequest,
        "X-Request-Id is longer than 256 bytes or contains characters "
        "other than letters, digits and -_.:/");
  }
  context->organisation = core::OrganisationId(organisation);
  context->deployment =
      context->configuration->DeploymentOf(context->organisation);
  if (context->deployment == nullptr) {
    return MakeStatus(ResultCode::kUnknownOrganisation,
                      "X-Organisation names no organisation of a deployment");
  }
  const intent::Organisation& settings =
      context->deployment->organisations.at(context->organisation);
  context->organisation_weight = settings.weight;
  context->organisation_rate = settings.requests_per_second;
  TRY_ASSIGN(context->priority,
             ParsePriority(headers.Get(http::kPriorityHeader)));
  TRY_ASSIGN(const core::Duration remaining,
             ParseDeadline(headers.Get(http::kDeadlineHeader), *settings_));
  context->deadline = context->now + remaining;
  context->trace_parent = headers.Get(http::kTraceParentHeader);
  return absl::OkStatus();
}

core::RequestId IdentifyFilter::NextRequestId() {
  return core::RequestId(fmt::format("{}.{:x}.{}", settings_->host.value(),
                                     process_incarnation_, next_number_++));
}

}  // namespace wasabi::router
