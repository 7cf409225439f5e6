// Filter chain that every caller request passes through before it is routed.

#ifndef SERVICES_ROUTER_FILTER_H_
#define SERVICES_ROUTER_FILTER_H_

#include <memory>
#include <vector>

#include "LibCore/try.h"
#include "Services/Router/request_context.h"
#include "absl/status/status.h"

namespace wasabi::router {

// One step of request validation.
class Filter {
 public:
  virtual ~Filter() = default;
  // Fills in this filter's fields of the context, or returns the error that
  // rejects the request.
  virtual absl::Status Apply(RequestContext* context) = 0;
};

// Applies a fixed sequence of filters.
class FilterChain {
 public:
  explicit FilterChain(std::vector<std::shared_ptr<Filter>> filters)
      : filters_(std::move(filters)) {}

  // Applies the filters in order and returns the first error.
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
