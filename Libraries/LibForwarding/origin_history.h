// Remembers which origins the endpoints of each pool have had lately. Where
// there was only one, a stream of unknown origin can only have begun there.

#ifndef LIBFORWARDING_ORIGIN_HISTORY_H_
#define LIBFORWARDING_ORIGIN_HISTORY_H_

#include <map>
#include <optional>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/route.h"
#include "LibForwarding/stream_origin.h"

namespace wasabi::forwarding {

class OriginHistory {
 public:
  // Records the origins of the registered endpoints, also of those that leave.
  // Must be called about twice a second.
  void Observe(const EndpointTable& endpoints, core::TimePoint now);

  // Returns the only origin that the endpoints of `pools` have had lately, or
  // nullopt if there were several or none.
  std::optional<StreamOrigin> OnlyOrigin(const std::vector<WeightedPool>& pools,
                                         core::TimePoint now) const;

 private:
  // When each origin of a pool was last observed.
  std::map<core::PoolId, std::map<StreamOrigin, core::TimePoint>> seen_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_HISTORY_H_
