#include "Services/Router/organisation_limit_filter.h"

#include "LibCore/result_code.h"

namespace wasabi::router {

absl::Status OrganisationLimitFilter::Apply(RequestContext* context) {
  const core::Duration wait = limiter_->Take(
      context->organisation, context->organisation_rate, context->now);
  if (wait == core::Duration::zero()) {
    return absl::OkStatus();
  }
  const bool is_ledger_call = context->plain_service != nullptr &&
                              !context->plain_service->is_repeatable;
  if (is_ledger_call) {
    context->is_over_rate_limit = true;
    return absl::OkStatus();
  }
  return core::MakeRefusal(core::ResultCode::kOrganisationLimit,
                           "the organisation's request rate is used up", wait);
}

}  // namespace wasabi::router
