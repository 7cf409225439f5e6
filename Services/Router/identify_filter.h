// Finds out who asks, for which request, how urgently and until when.

#ifndef SERVICES_ROUTER_IDENTIFY_FILTER_H_
#define SERVICES_ROUTER_IDENTIFY_FILTER_H_

#include <cstdint>
#include <string>

#include "Services/Router/filter.h"
#include "Services/Router/router_settings.h"

namespace wasabi::router {

class IdentifyFilter : public Filter {
 public:
  // Request ids that the router makes begin with the host's name and
  // `process_incarnation`, so that no two requests share one.
  IdentifyFilter(const RouterSettings* settings, uint64_t process_incarnation);

  absl::Status Apply(RequestContext* context) override;

 private:
  core::RequestId NextRequestId();

  const RouterSettings* settings_;
  uint64_t process_incarnation_;
  uint64_t next_number_ = 1;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_IDENTIFY_FILTER_H_
