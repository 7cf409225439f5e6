#include <catch2/catch.hpp>
#include <vector>
#include "LibCore/text.h"

#include "LibForwarding/endpoint_counts.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/pace_choice.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(1000)};
constexpr uint32_t kLoad = 8;

const core::PoolId kPool("p");
const core::RunnerId kEndpoint("e1");
const core::RunnerId kOther("e2");

// Paces of a host that knows the usual gap of 40 ms.
EndpointPace Experienced() {
  EndpointPace paces(1);
  for (int i = 0; i < 100; ++i) {
    paces.RecordGap(kPool, kOther, milliseconds(40), kLoad,
                    kStart - seconds(5));
  }
  return paces;
}

core::TimePoint RecordSlow(EndpointPace& paces, int gaps) {
  core::TimePoint now = kStart;
  for (int i = 0; i < gaps; ++i) {
    now += milliseconds(160);
    paces.RecordGap(kPool, kEndpoint, milliseconds(160), kLoad, now);
  }
  return now;
}

TEST_CASE("an endpoint with long gaps is slow until the estimate fades") {
  EndpointPace paces = Experienced();
  CHECK(paces.PaceOf(kEndpoint, kStart) == 1.0);
  const core::TimePoint now = RecordSlow(paces, 4);
  CHECK(paces.PaceOf(kEndpoint, now) > kSlowPace);
  CHECK(paces.PaceOf(kOther, now) < kSlowPace);
  CHECK(paces.WouldMissGaps(kPool, kEndpoint, kLoad, milliseconds(150), now));
  CHECK_FALSE(paces.WouldMissGaps(kPool, kEndpoint, kLoad,
                                  core::Duration::zero(), now));
  CHECK(paces.PaceOf(kEndpoint, now + seconds(3)) < 1.1);
}

// A host that is paused sees one long gap on every stream.
TEST_CASE("one long gap does not make an endpoint slow") {
  EndpointPace paces = Experienced();
  for (int i = 1; i <= 10; ++i) {
    paces.RecordGap(kPool, kEndpoint, milliseconds(40), kLoad,
                    kStart + milliseconds(40) * i);
  }
  const core::TimePoint now = kStart + seconds(2);
  paces.RecordGap(kPool, kEndpoint, milliseconds(1600), kLoad, now);
  CHECK(paces.TakeNews(now).empty());
}

TEST_CASE("a stated speed that swings many times a second moves nothing") {
  EndpointPace paces(1);
  core::TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    paces.RecordStated(kPool, kEndpoint, i % 2 == 0 ? 0.4 : 2.5, now);
    CHECK(paces.PaceOf(kEndpoint, now) < kSlowPace);
    CHECK(paces.TakeNews(now).empty());
  }
  CHECK(paces.IsStated(kPool));
}

TEST_CASE("a slow endpoint is reported once and known to the other host") {
  EndpointPace paces = Experienced();
  core::TimePoint now = RecordSlow(paces, 4);
  const std::vector<PaceReport> news = paces.TakeNews(now);
  REQUIRE(news.size() == 1);
  CHECK(news[0].endpoint == EndpointKeyOf(kEndpoint));
  CHECK(paces.TakeNews(now + milliseconds(1)).empty());

  EndpointPace other(2);
  CHECK(other.Merge(news[0], now));
  CHECK_FALSE(other.Merge(news[0], now));
  CHECK(other.PaceOf(kEndpoint, now) > kSlowPace);
  REQUIRE(other.TakeChanges(now).size() == 1);
  CHECK(other.TakeChanges(now).empty());

  SECTION("it fades without new reports") {
    CHECK(other.PaceOf(kEndpoint, now + seconds(5)) == 1.0);
    CHECK(other.TakeChanges(now + seconds(5)).size() == 1);
  }
  SECTION("a restart ends it, also if the report comes again") {
    other.Forget(kEndpoint, now + milliseconds(10));
    CHECK(other.PaceOf(kEndpoint, now + milliseconds(10)) == 1.0);
    PaceReport late = news[0];
    late.age_milliseconds = 30;
    CHECK_FALSE(other.Merge(late, now + milliseconds(20)));
    CHECK(other.PaceOf(kEndpoint, now + milliseconds(20)) == 1.0);
  }
  SECTION("a report of nonsense is dropped") {
    for (const uint32_t percent : {0U, 4'000'000'000U}) {
      CHECK_FALSE(
          other.Merge({.endpoint = news[0].endpoint, .pace_percent = percent},
                      now + seconds(1)));
    }
  }
}

struct ChoiceCase {
  const char* what;
  // Paces of four endpoints in hundredths, as reported by other hosts.
  std::vector<uint32_t> paces;
  std::vector<bool> is_slow;
};

TEST_CASE("slow endpoints are avoided unless most are slow") {
  const ChoiceCase cases[] = {
      {"none is slow", {100, 100, 110, 100}, {false, false, false, false}},
      {"one is slow", {400, 100, 110, 100}, {true, false, false, false}},
      {"all are slow", {400, 350, 400, 450}, {false, false, false, false}},
      {"one is far slower than the others",
       {900, 300, 300, 300},
       {true, false, false, false}},
  };
  for (const ChoiceCase& row : cases) {
    INFO(row.what);
    EndpointPace paces = Experienced();
    std::vector<core::RunnerId> ids;
    std::vector<EndpointCandidate> candidates;
    for (const uint32_t percent : row.paces) {
      ids.emplace_back(fmt::format("c{}", ids.size()));
      candidates.push_back(
          {.hash = ids.back().Hash(), .load = kLoad, .slots = 32});
      paces.Merge(
          {.endpoint = EndpointKeyOf(ids.back()), .pace_percent = percent},
          kStart);
    }
    std::vector<const core::RunnerId*> pointers;
    for (const core::RunnerId& it : ids) {
      pointers.push_back(&it);
    }
    ApplyPaces(paces, kPool, pointers, {.gap_objective = milliseconds(150)},
               kStart, candidates);
    for (size_t i = 0; i < ids.size(); ++i) {
      CHECK(candidates[i].is_slow == row.is_slow[i]);
      CHECK((candidates[i].pace > 1) == row.is_slow[i]);
    }
    const Selection selection = SelectEndpoint(candidates, std::nullopt, 1, {});
    REQUIRE(selection.outcome == SelectionOutcome::kChosen);
    CHECK_FALSE(candidates[selection.index].is_slow);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
