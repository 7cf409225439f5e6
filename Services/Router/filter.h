// The filter chain that every request of a caller passes before it is routed.

#ifndef SERVICES_ROUTER_FILTER_H_
#define SERVICES_ROUTER_FILTER_H_

#include <memory>
#include <vector>

#include "LibCore/try.h"
#include "Services/Router/request_context.h"
#include "absl/status/status.h"

namespace wasabi::router {

class Filter {
 public:
  virtual ~Filter() = default;
  // Fills in its part of the context, or refuses the request.
  virtual absl::Status Apply(RequestContext* context) = 0;
};

class FilterChain {
 public:
  explicit FilterChain(std::vector<std::shared_ptr<Filter>> filters)
      : filters_(std::move(filters)) {}

  // Applies the filters in order and stops at the first refusal.
  absl::Status Apply(RequestContext* context) const {
    for (const std::shared_ptr<Filter>& filter : filters_) {
      TRY(filter->Apply(context));
    }
    return absl::OkStatus();
  }

 private:
  std::vector<std::shared_ptr<Filter>> filters_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_FILTER_H_
