// The claims stream, which elects the control daemon that sends orders to the
// endpoints of a pool. The latest claim of a pool in offset order determines
// the holder, and the offset of that claim is the fencing number of the
// holder's orders.

#ifndef LIBINTENT_ORDER_CLAIMS_H_
#define LIBINTENT_ORDER_CLAIMS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "LibCore/identifier.h"
#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

struct OrderClaim {
  core::PoolId pool;
  // Identifies one incarnation of one control daemon.
  std::string holder;

  auto operator<=>(const OrderClaim&) const = default;
};

// Encodes the body of a claim record: {"pool":P,"holder":H}.
std::string EncodeClaim(const OrderClaim& claim);
// Parses the body of a claim record. Error: ResultCode::kMalformedRecord.
absl::StatusOr<OrderClaim> ParseClaim(std::string_view body);

// The latest claim of one pool.
struct CurrentClaim {
  std::string holder;
  platform::Offset fencing_number = -1;

  auto operator<=>(const CurrentClaim&) const = default;
};

// The current claims of all pools, computed by folding the claims stream.
class OrderClaims {
 public:
  // The offset to read from next.
  platform::Offset next_offset() const { return next_offset_; }

  // Processes a page that was read from next_offset(). Skips malformed records
  // and returns their number.
  int Fold(const platform::LogPage& page);

  // Continues at `first_retained` after the log was truncated. Unread claims in
  // the truncated range are lost, so a pool may have no holder or an earlier
  // one until a new claim is read. The offset of a new claim is higher in any
  // case.
  void SkipTo(platform::Offset first_retained);

  // Returns the current claim of `pool`, or nullptr.
  const CurrentClaim* Find(const core::PoolId& pool) const;

 private:
  platform::Offset next_offset_ = 0;
  std::map<core::PoolId, CurrentClaim> claims_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_ORDER_CLAIMS_H_
