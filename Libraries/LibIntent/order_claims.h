// The claims stream: which control daemon gives orders to the endpoints of a
// pool. The latest claim of a pool in offset order names its holder, and the
// offset of that claim is the fencing number of the holder's orders.

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
  // One life of one control daemon.
  std::string holder;

  auto operator<=>(const OrderClaim&) const = default;
};

// The body of a record: {"pool":P,"holder":H}.
std::string EncodeClaim(const OrderClaim& claim);
// ResultCode::kMalformedRecord where `body` is no claim.
absl::StatusOr<OrderClaim> ParseClaim(std::string_view body);

// The claim in force of one pool.
struct ClaimInForce {
  std::string holder;
  platform::Offset fencing_number = -1;

  auto operator<=>(const ClaimInForce&) const = default;
};

// The fold of the claims stream.
class OrderClaims {
 public:
  // Where to read next.
  platform::Offset next_offset() const { return next_offset_; }

  // Folds a page that was read from next_offset(). Records that don't parse
  // are skipped. Returns the number of skipped ones.
  int Fold(const platform::LogPage& page);

  // Older claims are lost: pools whose claim is not seen again have no holder,
  // and a new claim gets a higher number in any case.
  void SkipTo(platform::Offset first_kept);

  // The claim of `pool`, or nullptr.
  const ClaimInForce* Find(const core::PoolId& pool) const;

 private:
  platform::Offset next_offset_ = 0;
  std::map<core::PoolId, ClaimInForce> claims_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_ORDER_CLAIMS_H_
