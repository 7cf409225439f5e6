#include "LibIntent/order_claims.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::intent {

std::string EncodeClaim(const OrderClaim& claim) {
  return DumpJson({{"pool", claim.pool.value()}, {"holder", claim.holder}});
}

absl::StatusOr<OrderClaim> ParseClaim(std::string_view body) {
  TRY_ASSIGN(const nlohmann::json value, ParseJsonObject(body));
  std::string pool;
  OrderClaim claim;
  TRY(ReadMember(value, "pool", &pool));
  TRY(ReadMember(value, "holder", &claim.holder));
  if (pool.empty() || claim.holder.empty()) {
    return MakeMalformed("the claim names no pool or no holder");
  }
  claim.pool = core::PoolId(std::move(pool));
  return claim;
}

int OrderClaims::Fold(const platform::LogPage& page) {
  int skipped = 0;
  for (const platform::LogRecord& record : page.records) {
    if (record.offset < next_offset_) {
      continue;
    }
    next_offset_ = record.offset + 1;
    const absl::StatusOr<OrderClaim> claim = ParseClaim(record.body);
    if (!claim.ok()) {
      ++skipped;
      continue;
    }
    claims_[claim->pool] = {claim->holder, record.offset};
  }
  return skipped;
}

void OrderClaims::SkipTo(platform::Offset first_retained) {
  next_offset_ = std::max(next_offset_, first_retained);
}

const CurrentClaim* OrderClaims::Find(const core::PoolId& pool) const {
  const auto it = claims_.find(pool);
  return it == claims_.end() ? nullptr : &it->second;
}

}  // namespace wasabi::intent
