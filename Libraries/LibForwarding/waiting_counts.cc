#include "LibForwarding/waiting_counts.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/hash.h"

namespace wasabi::forwarding {

namespace {

// Priorities that are told apart. Less urgent ones count as the last.
constexpr int kPriorities = 8;
// Organisations per pool that a host reports, those with the most waiting
// requests.
constexpr size_t kReportedOrganisations = 4;
// Organisations with fewer waiting requests on a host are not reported by it.
// Sums would otherwise contain most organisations of the fleet.
constexpr uint32_t kMinReported = 3;
// Up to here the count in ones is exact. Sums saturate at 255, from which this
// host's own share may have been subtracted.
constexpr uint32_t kMaxExactCount = 192;

// The two keys of a count.
struct CountKeys {
  uint32_t ones;
  uint32_t coarse;
};

CountKeys KeysOf(const core::PoolId& pool, std::string_view kind, uint64_t of) {
  const uint64_t hash =
      core::CombineHashes(core::StableHash(kind, pool.Hash()), of);
  return {.ones = EndpointKeyOf(hash),
          .coarse = EndpointKeyOf(core::CombineHashes(hash, kCoarseUnit))};
}

CountKeys KeysOf(const core::PoolId& pool, int priority) {
  return KeysOf(pool, "waiting priority", static_cast<uint64_t>(priority));
}

CountKeys KeysOf(const core::PoolId& pool,
                 const core::OrganisationId& organisation) {
  return KeysOf(pool, "waiting organisation", organisation.Hash());
}

int LevelOf(routing::Priority priority) {
  return std::min(static_cast<int>(priority), kPriorities - 1);
}

void AddCount(const CountKeys& keys,
              uint32_t n,
              core::RandomSource& random,
              EndpointCounts* counts) {
  counts->Add(keys.ones, n);
  const auto below = static_cast<uint32_t>(random.Below(kCoarseUnit));
  counts->Add(keys.coarse, (n + below) / kCoarseUnit);
}

double CountAt(const LoadTable& loads, const CountKeys& keys) {
  const uint32_t ones = loads.CountElsewhere(keys.ones);
  const uint32_t coarse = loads.CountElsewhere(keys.coarse) * kCoarseUnit;
  const bool may_be_saturated =
      ones > kMaxExactCount || coarse > 2 * kMaxExactCount;
  return may_be_saturated ? std::max(ones, coarse) : ones;
}

}  // namespace

EndpointCounts WaitingCountsOf(const WaitQueue& queue,
                               core::RandomSource& random) {
  EndpointCounts counts;
  for (const auto& [pool, admission] : queue.pools()) {
    std::map<int, uint32_t> priorities;
    std::map<core::OrganisationId, uint32_t> organisations;
    admission.queue().Select([&](const routing::WaitingItem& it) {
      ++priorities[LevelOf(it.item.priority)];
      ++organisations[it.item.organisation];
      return false;
    });
    for (const auto& [priority, n] : priorities) {
      AddCount(KeysOf(pool, priority), n, random, &counts);
    }
    std::vector<std::pair<uint32_t, core::OrganisationId>> largest;
    for (const auto& [organisation, n] : organisations) {
      if (n >= kMinReported) {
        largest.emplace_back(n, organisation);
      }
    }
    std::sort(largest.rbegin(), largest.rend());
    largest.resize(std::min(largest.size(), kReportedOrganisations));
    for (const auto& [n, organisation] : largest) {
      AddCount(KeysOf(pool, organisation), n, random, &counts);
    }
  }
  return counts;
}

std::map<routing::Priority, double> WaitingElsewhere(const LoadTable& loads,
                                                     const core::PoolId& pool) {
  std::map<routing::Priority, double> waiting;
  for (int priority = 0; priority < kPriorities; ++priority) {
    const double n = CountAt(loads, KeysOf(pool, priority));
    if (n > 0) {
      waiting[PriorityClassOf(priority)] = n;
    }
  }
  return waiting;
}

double WaitingElsewhere(const LoadTable& loads,
                        const core::PoolId& pool,
                        const core::OrganisationId& organisation) {
  return CountAt(loads, KeysOf(pool, organisation));
}

}  // namespace wasabi::forwarding
