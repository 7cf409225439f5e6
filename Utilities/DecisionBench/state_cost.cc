#include "Utilities/DecisionBench/state_cost.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "LibCore/text.h"
#include "LibRouting/placement.h"
#include "LibRouting/runner_admission.h"

namespace wasabi::bench {

namespace {

using routing::RunnerAdmission;
using routing::WorkItem;

constexpr core::TimePoint kStart{std::chrono::hours(1)};

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double NanosecondsSince(std::chrono::steady_clock::time_point begin) {
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return std::chrono::duration<double, std::nano>(elapsed).count();
}

WorkItem MakeItem(uint64_t number) {
  WorkItem item;
  // Same length as the request ids that entry hosts generate.
  item.request = core::RequestId(fmt::format("{:032x}", number));
  item.organisation = core::OrganisationId(fmt::format("org-{}", number % 10));
  item.chat = core::ChatKey(fmt::format("chat-{:032x}", number));
  item.size = {4500, 4000, 300};
  item.deadline = kStart + std::chrono::hours(10000);
  item.is_last_choice = true;
  return item;
}

// Calls `add` for `count` entries on a runner with `max_running` slots and
// measures the cost per entry.
StateCost MeasureAdmission(
    std::string kind,
    uint64_t count,
    uint32_t max_running,
    const std::function<void(RunnerAdmission&, const WorkItem&)>& add) {
  std::vector<WorkItem> items;
  for (uint64_t i = 0; i < count; ++i) {
    items.push_back(MakeItem(i));
  }
  const size_t bytes_before = AllocatedBytes();
  RunnerAdmission admission(core::RunnerId("runner-0"),
                            {.max_running = max_running,
                             .max_waiting = static_cast<uint32_t>(count),
                             .max_pointers = count});
  const auto begin = std::chrono::steady_clock::now();
  for (const WorkItem& it : items) {
    add(admission, it);
  }
  const auto entries = static_cast<double>(count);
  StateCost cost = {std::move(kind), count, 0,
                    NanosecondsSince(begin) / entries};
  cost.bytes_per_entry =
      static_cast<double>(AllocatedBytes() - bytes_before) / entries;
  return cost;
}

void Offer(RunnerAdmission& admission, const WorkItem& item) {
  admission.Offer(item, {}, kStart);
}

void RecordPointer(RunnerAdmission& admission, const WorkItem& item) {
  admission.RecordPointer(item.chat, core::RunnerId("runner-1"), kStart);
}

// Measures one Advance call over `waiting` requests, all of which stay queued.
StateCost MeasureAdvance(uint64_t waiting) {
  constexpr uint64_t kCalls = 2000;
  RunnerAdmission admission(
      core::RunnerId("runner-0"),
      {.max_running = 1, .max_waiting = static_cast<uint32_t>(waiting)});
  for (uint64_t i = 0; i <= waiting; ++i) {
    Offer(admission, MakeItem(i));
  }
  const auto begin = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kCalls; ++i) {
    admission.Advance({}, kStart);
  }
  return {"advance", waiting, 0, NanosecondsSince(begin) / kCalls};
}

StateCost MeasureOrder(uint64_t runners) {
  constexpr uint64_t kOrders = 2000;
  std::vector<routing::RunnerView> views(runners);
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].id = core::RunnerId(fmt::format("runner-{}", i));
  }
  const auto strategy = routing::MakePlacementStrategy("owners", 1.25, 1);
  size_t sum = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kOrders; ++i) {
    sum += (*strategy)->Order(views, core::ChatKey(), i).front();
  }
  const double nanoseconds = NanosecondsSince(begin) / kOrders;
  // Using the sum prevents the compiler from removing the loop.
  return {"order", runners, 0, sum == 0 ? nanoseconds + 1e-9 : nanoseconds};
}

}  // namespace

std::vector<StateCost> MeasureStateCosts() {
  std::vector<StateCost> costs;
  for (const uint64_t count : {1000, 3000, 10000, 30000}) {
    costs.push_back(MeasureAdmission("running_request", count,
                                     static_cast<uint32_t>(count), Offer));
  }
  for (const uint64_t count : {1000, 3000, 10000, 30000}) {
    costs.push_back(MeasureAdmission("waiting_request", count, 1, Offer));
  }
  for (const uint64_t count : {5000, 15000, 50000, 150000}) {
    costs.push_back(MeasureAdmission("pointer", count, 1, RecordPointer));
  }
  for (const uint64_t waiting : {16, 64, 256}) {
    costs.push_back(MeasureAdvance(waiting));
  }
  for (const uint64_t runners : {9, 85, 425, 850}) {
    costs.push_back(MeasureOrder(runners));
  }
  return costs;
}

}  // namespace wasabi::bench
