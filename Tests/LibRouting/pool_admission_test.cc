// Order of waiting, forecasts and times of return of one host.

#include "LibRouting/pool_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibRouting/return_phase.h"

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kNow{seconds(1000)};

WorkItem Item(const std::string& id,
              const std::string& organisation,
              int priority = 1,
              bool has_returned = false) {
  WorkItem item;
  item.request = core::RequestId(id);
  item.organisation = core::OrganisationId(organisation);
  item.priority = static_cast<Priority>(priority);
  item.has_returned = has_returned;
  return item;
}

PoolOutlook FullPool(double places) {
  PoolOutlook pool;
  pool.running = {.runners = 1, .requests = places};
  pool.running_here = places;
  pool.places = places;
  pool.service_time = seconds(1);
  return pool;
}

void Push(FairQueue& queue, const WorkItem& item) {
  WaitingItem waiting;
  waiting.item = item;
  waiting.tokens = 1;
  queue.Push(waiting);
}

std::string OrderOf(FairQueue& queue) {
  std::string order;
  while (!queue.empty()) {
    order += queue.Pop().item.request.value();
  }
  return order;
}

struct OrderCase {
  const char* what;
  std::vector<WorkItem> arrivals;
  const char* order;
};

// Guards against an order that lets a large organisation, a caller that comes
// early, or a less urgent request overtake.
TEST_CASE("requests wait by priority, fairly among organisations") {
  const auto it = GENERATE(
      OrderCase{"by priority, also beyond three classes",
                {Item("a", "x", 7), Item("b", "x", 3), Item("c", "x", 0)},
                "cba"},
      OrderCase{"organisations alternate",
                {Item("a", "x"), Item("b", "x"), Item("c", "x"), Item("d", "y"),
                 Item("e", "y")},
                "adbec"},
      OrderCase{"one that returned goes before new ones of its organisation",
                {Item("a", "x"), Item("b", "x"), Item("c", "y"),
                 Item("d", "x", 1, true), Item("e", "x", 1, true)},
                "dceab"},
      OrderCase{"but not before those of a more urgent class",
                {Item("a", "x", 0), Item("d", "x", 1, true)},
                "ad"});
  FairQueue queue;
  for (const WorkItem& item : it.arrivals) {
    const size_t ahead = queue.CountAhead(item);
    Push(queue, item);
    CHECK(queue.CountAhead(item.request) == ahead);
  }
  INFO(it.what);
  CHECK(OrderOf(queue) == it.order);
}

TEST_CASE("an organisation that waits elsewhere does not get ahead here") {
  FairQueue queue;
  WorkItem large = Item("a", "x");
  large.organisation_backlog = 3;
  Push(queue, large);
  Push(queue, Item("b", "y"));
  Push(queue, Item("c", "y"));
  CHECK(OrderOf(queue) == "bca");
}

struct ForecastCase {
  const char* what;
  PoolOutlook pool;
  int priority;
  std::optional<core::Duration> start;
};

// Guards against requests that are held although they can't be served, and
// against refusals while places are free.
TEST_CASE("the start of a request is forecast from room, rate and demand") {
  PoolOutlook free = FullPool(10);
  free.running.requests = 9;
  PoolOutlook stale = free;
  stale.age = seconds(3);
  PoolOutlook waiting = FullPool(10);
  waiting.waiting_elsewhere = {{static_cast<Priority>(0), 20.0},
                               {static_cast<Priority>(1), 20.0}};
  PoolOutlook unknown = FullPool(10);
  unknown.service_time.reset();
  const auto it = GENERATE_COPY(
      ForecastCase{"a place is free", free, 1, core::Duration::zero()},
      ForecastCase{"stale room is none", stale, 1, core::FromSeconds(1 / 9.0)},
      ForecastCase{"a full pool", FullPool(10), 1, milliseconds(100)},
      ForecastCase{"behind more urgent ones and half of the same class",
                   waiting, 1, milliseconds(3100)},
      ForecastCase{"before less urgent ones", waiting, 0, milliseconds(1100)},
      ForecastCase{"nothing is known", unknown, 1, std::nullopt},
      ForecastCase{"no endpoint is left", FullPool(0), 1, std::nullopt});
  INFO(it.what);
  const PoolAdmission admission;
  CHECK(admission.ExpectedStart(Item("a", "x", it.priority), it.pool, kNow) ==
        it.start);
}

// Guards against all refused callers coming back at once.
TEST_CASE("refused callers come back one after the other, urgent ones first") {
  PoolAdmission admission;
  core::RandomSource random(1);
  PoolOutlook pool = FullPool(100);
  pool.hosts = 10;
  std::vector<core::Duration> delays;
  for (int i = 0; i < 20; ++i) {
    delays.push_back(admission.TakeReturnTime(Item("a", "x"), pool, seconds(9),
                                              kNow, random));
  }
  for (size_t i = 1; i < delays.size(); ++i) {
    CHECK(delays[i] - delays[i - 1] == milliseconds(100));
  }
  CHECK(delays.back() <= seconds(3));
  CHECK(admission.TakeReturnTime(Item("b", "x", 0), pool, seconds(9), kNow,
                                 random) < delays[1]);
  CHECK(admission.TakeReturnTime(Item("c", "x", 2), pool, seconds(9), kNow,
                                 random) > delays.back());
}

TEST_CASE("a delay takes at most a third of the caller's time") {
  PoolAdmission admission;
  core::RandomSource random(1);
  const auto pool = GENERATE(FullPool(1), FullPool(0));
  for (int i = 0; i < 50; ++i) {
    const core::Duration remaining = milliseconds(30 + 40 * i);
    CHECK(admission.TakeReturnTime(Item("a", "x"), pool, remaining, kNow,
                                   random) <= remaining / 3);
  }
}

// Guards against callers that gain by coming early, and against hosts that do
// not know what another host has answered.
TEST_CASE("any host recognises a caller that returns at its time") {
  core::RandomSource random(7);
  int early_in_phase = 0;
  constexpr int kCallers = 1000;
  for (int i = 0; i < kCallers; ++i) {
    const ReturnPhase phase(random.Next(), milliseconds(800));
    const core::Duration remaining = milliseconds(2000 + random.Below(9000));
    const core::Duration delay =
        phase.Align(milliseconds(random.Below(900)), remaining);
    CHECK(phase.IsInPhase(remaining - delay));
    CHECK(phase.IsInPhase(remaining - delay - milliseconds(30)));
    const auto early = milliseconds(50 + random.Below(300));
    early_in_phase += phase.IsInPhase(remaining - delay + early) ? 1 : 0;
  }
  // The tolerance of a tenth of the period, and rounding.
  CHECK(early_in_phase < kCallers * 15 / 100);
}

TEST_CASE("the memory for usual demand is bounded") {
  PoolAdmission admission;
  double weight = 0;
  for (int i = 0; i < 20000; ++i) {
    weight = admission.RecordArrival(Item("a", fmt::format("o{}", i)),
                                     kNow + milliseconds(i));
  }
  CHECK(weight == Approx(1));
  CHECK(admission.known_organisations() <= 4096);
}

}  // namespace
}  // namespace wasabi::routing
