#include "LibForwarding/pace_choice.h"

#include <catch2/catch.hpp>
#include <vector>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_counts.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;

constexpr core::TimePoint kStart{core::seconds(1000)};
constexpr uint32_t kLoad = 8;
constexpr uint32_t kTokens = 800;
constexpr size_t kEndpoints = 6;

const core::PoolId kPool("p");

// Choices of a host at whose usual endpoints gaps take 30 ms, first events of
// streams 60 ms, and answers of plain calls 200 ms. The first endpoint has the
// reported pace.
class Choices {
 public:
  explicit Choices(uint32_t pace_percent) {
    for (size_t i = 0; i < kEndpoints; ++i) {
      ids_.emplace_back(fmt::format("e{}", i));
    }
    for (int i = 0; i < 100; ++i) {
      paces_.RecordGap(kPool, ids_[1], milliseconds(30), kLoad,
                       kStart - core::seconds(5));
      RecordAnswer(true, milliseconds(60));
      RecordAnswer(false, milliseconds(200));
    }
    paces_.Merge(
        {.endpoint = EndpointKeyOf(ids_[0]), .pace_percent = pace_percent},
        kStart);
  }

  // Returns how many of the requests that prefer the first endpoint go to
  // another one.
  size_t Leaving(const CallerNeeds& needs) const {
    const std::vector<EndpointCandidate> plain = Candidates();
    std::vector<EndpointCandidate> weighted = Candidates();
    std::vector<const core::RunnerId*> pointers;
    for (const core::RunnerId& it : ids_) {
      pointers.push_back(&it);
    }
    ApplyPaces(paces_, kPool, pointers, needs, kStart, weighted);
    size_t leaving = 0;
    for (uint64_t i = 0; i < 600; ++i) {
      const Affinity affinity{.key = core::CombineHashes(i, 7)};
      const bool prefers_first =
          SelectEndpoint(plain, affinity, i, {}).index == 0;
      const bool stays = SelectEndpoint(weighted, affinity, i, {}).index == 0;
      leaving += prefers_first && !stays ? 1 : 0;
    }
    return leaving;
  }

 private:
  void RecordAnswer(bool is_stream, core::Duration time) {
    paces_.RecordAnswer(kPool, ids_[1],
                        {.is_stream = is_stream, .uncached_tokens = kTokens},
                        time, kStart - core::seconds(5));
  }

  std::vector<EndpointCandidate> Candidates() const {
    std::vector<EndpointCandidate> candidates;
    for (const core::RunnerId& it : ids_) {
      candidates.push_back({.hash = it.Hash(), .load = kLoad, .slots = 32});
    }
    return candidates;
  }

  EndpointPace paces_{1};
  std::vector<core::RunnerId> ids_;
};

struct NeedCase {
  const char* what;
  uint32_t pace_percent;
  CallerNeeds needs;
  bool leaves;
};

// Guards against requests that leave the endpoint that has their prompt cached
// although they would keep their objectives there.
TEST_CASE("requests leave a slower endpoint only near an objective") {
  const auto row = GENERATE(values<NeedCase>({
      {"no objective", 400, {.uncached_tokens = kTokens}, false},
      {"gaps far from the objective",
       190,
       {.gap_objective = milliseconds(300), .uncached_tokens = kTokens},
       false},
      {"gaps near the objective",
       400,
       {.gap_objective = milliseconds(150), .uncached_tokens = kTokens},
       true},
      {"first events far from the objective",
       190,
       {.latency_objective = milliseconds(500),
        .gap_objective = milliseconds(400),
        .is_stream = true,
        .uncached_tokens = kTokens},
       false},
      {"first events near the objective",
       400,
       {.latency_objective = milliseconds(250),
        .gap_objective = milliseconds(400),
        .is_stream = true,
        .uncached_tokens = kTokens},
       true},
      {"answers of plain calls near the objective",
       190,
       {.latency_objective = milliseconds(500), .uncached_tokens = kTokens},
       true},
      {"answers of unknown length",
       400,
       {.latency_objective = milliseconds(500), .uncached_tokens = 20'000},
       false},
  }));
  INFO(row.what);
  CHECK((Choices(row.pace_percent).Leaving(row.needs) > 0) == row.leaves);
}

}  // namespace
}  // namespace wasabi::forwarding
