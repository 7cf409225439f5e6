#include "LibRouting/runner_admission.h"

#include <algorithm>
#include <utility>

#include "LibRouting/decaying_demand.h"
#include "LibRouting/demand_trend.h"
#include "LibRouting/fair_queue.h"
#include "LibRouting/inherited_load.h"
#include "LibRouting/load_cap.h"
#include "LibRouting/pointer_table.h"
#include "LibRouting/service_time_estimator.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

namespace {

// A queued request that can't start yet is refused once less than this share of
// its expected service time remains before its deadline. Service times vary, so
// requiring the full time would refuse requests that are still likely to
// complete in time.
constexpr double kMinimumServiceShare = 0.5;

// A running request.
struct RunningItem {
  double tokens = 0;
  ServiceDemand service;
  core::TimePoint start;
  bool is_alone = false;
};

// Returns true if the runner's cache is expected to hold the chat's context.
bool IsWarm(const WorkItem& item) {
  if (item.chat.empty()) {
    return false;
  }
  return item.pointer_use == PointerUse::kFollowed ||
         (item.pointer_use == PointerUse::kUnused && item.choice == 0);
}

// Returns the outstanding work that the request adds to this runner.
double TokensOf(const WorkItem& item) {
  return IsWarm(item) ? item.size.WarmTokens() : item.size.ColdTokens();
}

AdmissionDecision Decide(Verdict verdict) {
  AdmissionDecision decision;
  decision.verdict = verdict;
  return decision;
}

// Returns `item` with the priority class in which it is queued. While a runner
// drains for a request that runs alone, its capacity is unused, so such a
// request is queued as urgent instead of behind other requests.
WorkItem WithQueuePriority(WorkItem item) {
  if (item.runs_alone) {
    item.priority = Priority::kUrgent;
  }
  return item;
}

}  // namespace

struct RunnerAdmission::State {
  State(core::RunnerId runner_id, const AdmissionPolicy& admission_policy)
      : runner(std::move(runner_id)),
        policy(admission_policy),
        pointers(policy.pointer_lifetime, policy.max_pointers) {}

  RunnerLoad Load(core::TimePoint now) const;
  LoadCap Cap(core::TimePoint now) const;
  PoolDemand Demand(core::TimePoint now) const;
  bool HasCapacityFor(const WorkItem& item, core::TimePoint now) const;
  bool CanBypassQueue(const WorkItem& item) const;

  core::Duration PrefillTime(uint32_t tokens) const;
  core::Duration ColdPrefillCost(const WorkItem& item) const;
  ServiceDemand ServiceDemandOf(const WorkItem& item) const;
  core::Duration ExpectedSlotWait(Priority priority, core::TimePoint now) const;
  core::Duration ExpectedPoolWait(size_t ahead, core::TimePoint now) const;
  core::TimePoint LatestStart(const WorkItem& item) const;

  void Start(const WorkItem& item, double tokens, core::TimePoint now);
  void Enqueue(const WorkItem& item, core::TimePoint wait_deadline);
  AdmissionDecision Refuse(const WorkItem& item, core::TimePoint now);
  AdmissionDecision DecideAtCap(const WorkItem& item, core::TimePoint now);
  AdmissionDecision DecideLastChoice(const WorkItem& item, core::TimePoint now);
  bool IsWaitWorthwhile(const WorkItem& item, core::TimePoint now) const;

  std::vector<core::RequestId> StartWaiting(core::TimePoint now);
  std::vector<core::RequestId> RefuseOverdue(
      const std::vector<core::RequestId>& overdue,
      core::TimePoint now);
  std::vector<core::RequestId> DisplaceExpired(core::TimePoint now);

  const core::RunnerId runner;
  AdmissionPolicy policy;
  bool accepts_work = true;
  double load_share = 1;
  absl::flat_hash_map<core::RequestId, RunningItem> running;
  double running_tokens = 0;
  bool is_running_alone = false;
  FairQueue queue;
  // Number of queued requests that must run alone.
  size_t waiting_alone_count = 0;
  PointerTable pointers;
  DecayingDemand refused;
  ServiceTimeEstimator service_time;
  InheritedLoad inherited_load;
  DemandTrend trend;
};

RunnerLoad RunnerAdmission::State::Load(core::TimePoint now) const {
  const RunnerLoad inherited = inherited_load.CurrentLoad(now);
  return {static_cast<uint32_t>(running.size()) + inherited.requests,
          running_tokens + inherited.tokens};
}

LoadCap RunnerAdmission::State::Cap(core::TimePoint now) const {
  return MakeLoadCap({.load_bound = policy.load_bound,
                      .max_running = policy.max_running,
                      .minimum_cap = policy.minimum_cap,
                      .share = load_share,
                      .pool = trend.Estimate(policy.pool_lag, now),
                      .own = Demand(now)});
}

PoolDemand RunnerAdmission::State::Demand(core::TimePoint now) const {
  const core::Duration window = service_time.Mean();
  PoolDemand demand = {.runners = 0,
                       .requests = static_cast<double>(queue.size()) +
                                   refused.Requests(window, now),
                       .tokens = queue.tokens() + refused.Tokens(window, now)};
  if (accepts_work) {
    const RunnerLoad load = Load(now);
    demand =
        demand + PoolDemand{1, static_cast<double>(load.requests), load.tokens};
  }
  return demand;
}

bool RunnerAdmission::State::HasCapacityFor(const WorkItem& item,
                                            core::TimePoint now) const {
  const RunnerLoad load = Load(now);
  if (load.requests == 0) {
    return true;
  }
  if (is_running_alone || item.runs_alone) {
    return false;
  }
  return Cap(now).Admits(load);
}

// Returns true if a new request may start before the queued ones.
bool RunnerAdmission::State::CanBypassQueue(const WorkItem& item) const {
  return waiting_alone_count == 0 && queue.CountAhead(item.priority) == 0;
}

core::Duration RunnerAdmission::State::PrefillTime(uint32_t tokens) const {
  return core::FromSeconds(tokens /
                           std::max(1.0, policy.prefill_tokens_per_second));
}

// Returns the cost of prefilling the chat's prefix on a cold runner, expressed
// as the waiting time that it is worth.
core::Duration RunnerAdmission::State::ColdPrefillCost(
    const WorkItem& item) const {
  if (!IsWarm(item)) {
    return core::Duration::zero();
  }
  const core::Duration prefill = PrefillTime(item.size.reusable_tokens);
  return core::FromSeconds(core::ToSeconds(prefill) * policy.miss_cost_factor);
}

ServiceDemand RunnerAdmission::State::ServiceDemandOf(
    const WorkItem& item) const {
  const uint32_t cached = IsWarm(item) ? item.size.reusable_tokens : 0;
  const uint32_t prompt = item.size.prompt_tokens;
  const core::Duration prefill = PrefillTime(prompt - std::min(prompt, cached));
  return {core::ToSeconds(prefill),
          static_cast<double>(item.size.output_tokens)};
}

// Returns the expected time until the runner is below its cap for a new request
// of this priority.
core::Duration RunnerAdmission::State::ExpectedSlotWait(
    Priority priority,
    core::TimePoint now) const {
  const auto queue_position =
      static_cast<double>(queue.CountAhead(priority) + 1);
  const uint32_t slots = std::max(1U, Load(now).requests);
  return core::FromSeconds(queue_position *
                           core::ToSeconds(service_time.Mean()) / slots);
}

// Returns the expected wait if all runners of the pool are at their caps.
// Queued requests are included in the mean, so the cap rises with them up to
// max_running. Only demand beyond that has to wait for a running request to
// end.
core::Duration RunnerAdmission::State::ExpectedPoolWait(
    size_t ahead,
    core::TimePoint now) const {
  const double limit = std::max(1U, policy.max_running);
  const double excess =
      static_cast<double>(Load(now).requests + ahead + 1) - limit;
  const core::Duration wait = core::FromSeconds(
      std::max(0.0, excess) * core::ToSeconds(service_time.Mean()) / limit);
  return std::max(policy.pool_lag, wait);
}

// Returns the latest start time at which the request can still be expected to
// meet its deadline.
core::TimePoint RunnerAdmission::State::LatestStart(
    const WorkItem& item) const {
  const core::Duration expected = service_time.Expected(ServiceDemandOf(item));
  return item.deadline -
         core::FromSeconds(kMinimumServiceShare * core::ToSeconds(expected));
}

void RunnerAdmission::State::Start(const WorkItem& item,
                                   double tokens,
                                   core::TimePoint now) {
  running[item.request] = {tokens, ServiceDemandOf(item), now, item.runs_alone};
  running_tokens += tokens;
  is_running_alone = item.runs_alone;
  if (item.choice == 0 && item.pointer_use != PointerUse::kFollowed) {
    // The chat runs on its first choice again, whose cache will hold its
    // context.
    pointers.Erase(item.chat);
  }
}

void RunnerAdmission::State::Enqueue(const WorkItem& item,
                                     core::TimePoint wait_deadline) {
  waiting_alone_count += item.runs_alone ? 1 : 0;
  queue.Push({WithQueuePriority(item), TokensOf(item), LatestStart(item),
              wait_deadline});
}

AdmissionDecision RunnerAdmission::State::Refuse(const WorkItem& item,
                                                 core::TimePoint now) {
  refused.Add(TokensOf(item), service_time.Mean(), now);
  AdmissionDecision decision = Decide(Verdict::kRefuse);
  decision.retry_after = ExpectedPoolWait(queue.size(), now);
  return decision;
}

AdmissionDecision RunnerAdmission::State::DecideAtCap(const WorkItem& item,
                                                      core::TimePoint now) {
  if (item.is_last_choice || item.runs_alone) {
    return DecideLastChoice(item, now);
  }
  if (!IsWaitWorthwhile(item, now)) {
    return Decide(Verdict::kTryNext);
  }
  // Once the request has waited for as long as the cold prefill takes, the wait
  // has cost as much as trying the next runner immediately. Ending the wait at
  // this point limits the total cost to twice that of the best choice.
  Enqueue(item, now + ColdPrefillCost(item));
  return Decide(Verdict::kWait);
}

AdmissionDecision RunnerAdmission::State::DecideLastChoice(
    const WorkItem& item,
    core::TimePoint now) {
  const size_t ahead = queue.CountAhead(item.priority);
  const bool is_too_late =
      now + ExpectedPoolWait(ahead, now) > LatestStart(item);
  if (is_too_late || queue.size() >= policy.max_waiting) {
    return Refuse(item, now);
  }
  Enqueue(item, core::TimePoint::max());
  return Decide(Verdict::kWait);
}

bool RunnerAdmission::State::IsWaitWorthwhile(const WorkItem& item,
                                              core::TimePoint now) const {
  const core::Duration wait = ExpectedSlotWait(item.priority, now);
  return wait <= ColdPrefillCost(item) && now + wait <= LatestStart(item) &&
         queue.size() < policy.max_waiting;
}

std::vector<core::RequestId> RunnerAdmission::State::StartWaiting(
    core::TimePoint now) {
  std::vector<core::RequestId> started;
  while (!queue.empty() && HasCapacityFor(queue.Front()->item, now)) {
    const WaitingItem waiting = queue.Pop();
    waiting_alone_count -= waiting.item.runs_alone ? 1 : 0;
    Start(waiting.item, waiting.tokens, now);
    started.push_back(waiting.item.request);
  }
  return started;
}

std::vector<core::RequestId> RunnerAdmission::State::RefuseOverdue(
    const std::vector<core::RequestId>& overdue,
    core::TimePoint now) {
  for (const core::RequestId& it : overdue) {
    const std::optional<WaitingItem> waiting = queue.Remove(it);
    waiting_alone_count -= waiting->item.runs_alone ? 1 : 0;
    refused.Add(waiting->tokens, service_time.Mean(), now);
  }
  return overdue;
}

std::vector<core::RequestId> RunnerAdmission::State::DisplaceExpired(
    core::TimePoint now) {
  std::vector<core::RequestId> displaced =
      queue.Select([&](const WaitingItem& it) {
        return !accepts_work || it.wait_deadline <= now;
      });
  for (const core::RequestId& it : displaced) {
    const std::optional<WaitingItem> waiting = queue.Remove(it);
    waiting_alone_count -= waiting->item.runs_alone ? 1 : 0;
  }
  return displaced;
}

RunnerAdmission::RunnerAdmission(core::RunnerId runner,
                                 const AdmissionPolicy& policy)
    : state_(std::make_unique<State>(std::move(runner), policy)) {}

RunnerAdmission::~RunnerAdmission() = default;

AdmissionDecision RunnerAdmission::Offer(const WorkItem& item,
                                         const PoolDemand& pool,
                                         core::TimePoint now) {
  Finish(item.request, now, Ending::kAborted);
  state_->trend.Observe(pool, now);
  const bool may_have_pointer = item.choice == 0 && !item.chat.empty() &&
                                item.pointer_use == PointerUse::kUnused;
  if (may_have_pointer) {
    if (auto target = state_->pointers.FindAndRenew(item.chat, now)) {
      AdmissionDecision decision = Decide(Verdict::kFollowPointer);
      decision.pointer = *std::move(target);
      return decision;
    }
  }
  if (item.deadline <= now) {
    return state_->Refuse(item, now);
  }
  if (!state_->accepts_work) {
    return item.is_last_choice ? state_->Refuse(item, now)
                               : Decide(Verdict::kTryNext);
  }
  if (!state_->CanBypassQueue(item) || !state_->HasCapacityFor(item, now)) {
    return state_->DecideAtCap(item, now);
  }
  state_->queue.Charge(item, TokensOf(item));
  state_->Start(item, TokensOf(item), now);
  return Decide(Verdict::kRun);
}

void RunnerAdmission::Finish(const core::RequestId& request,
                             core::TimePoint now,
                             Ending ending) {
  if (const auto waiting = state_->queue.Remove(request)) {
    state_->waiting_alone_count -= waiting->item.runs_alone ? 1 : 0;
    return;
  }
  const auto it = state_->running.find(request);
  if (it == state_->running.end()) {
    return;
  }
  const RunningItem ended = it->second;
  state_->running.erase(it);
  state_->running_tokens =
      state_->running.empty() ? 0 : state_->running_tokens - ended.tokens;
  if (ended.is_alone) {
    state_->is_running_alone = false;
  }
  if (ending == Ending::kCompleted) {
    state_->service_time.Observe(ended.service, now - ended.start);
  }
}

AdmissionProgress RunnerAdmission::Advance(const PoolDemand& pool,
                                           core::TimePoint now) {
  state_->trend.Observe(pool, now);
  AdmissionProgress progress;
  if (state_->queue.empty()) {
    return progress;
  }
  progress.retry_after = state_->ExpectedPoolWait(state_->queue.size(), now);
  progress.to_refuse =
      state_->RefuseOverdue(state_->queue.Select([&](const WaitingItem& it) {
        return it.item.deadline <= now;
      }),
                            now);
  if (state_->accepts_work) {
    progress.to_run = state_->StartWaiting(now);
  }
  const std::vector<core::RequestId> past_latest_start =
      state_->RefuseOverdue(state_->queue.Select([&](const WaitingItem& it) {
        return it.latest_start < now;
      }),
                            now);
  progress.to_refuse.insert(progress.to_refuse.end(), past_latest_start.begin(),
                            past_latest_start.end());
  progress.to_displace = state_->DisplaceExpired(now);
  return progress;
}

void RunnerAdmission::RecordPointer(const core::ChatKey& chat,
                                    const core::RunnerId& target,
                                    core::TimePoint now) {
  if (target == state_->runner) {
    state_->pointers.Erase(chat);
    return;
  }
  state_->pointers.Set(chat, target, now);
}

void RunnerAdmission::ErasePointersTo(const core::RunnerId& target) {
  state_->pointers.EraseTarget(target);
}

void RunnerAdmission::ObserveReport(uint32_t running_requests,
                                    uint32_t outstanding_tokens,
                                    core::TimePoint now,
                                    core::Duration age) {
  RunnerLoad own;
  for (const auto& [request, item] : state_->running) {
    if (item.start <= now - age) {
      ++own.requests;
      own.tokens += item.tokens;
    }
  }
  state_->inherited_load.Observe(
      {running_requests, static_cast<double>(outstanding_tokens)}, own, now);
}

void RunnerAdmission::StopCountingInheritedLoad() {
  state_->inherited_load.StopCounting();
}

void RunnerAdmission::StartCountingInheritedLoad() {
  state_->inherited_load.StartCounting();
}

void RunnerAdmission::SetAcceptsWork(bool accepts_work) {
  state_->accepts_work = accepts_work;
}

void RunnerAdmission::SetLoadShare(double share) {
  state_->load_share = share;
}

void RunnerAdmission::ReleaseSuspect(uint64_t content_digest) {
  const std::vector<core::RequestId> released =
      state_->queue.Select([&](const WaitingItem& it) {
        return it.item.runs_alone && it.item.content_digest == content_digest;
      });
  for (const core::RequestId& it : released) {
    std::optional<WaitingItem> waiting = state_->queue.Remove(it);
    --state_->waiting_alone_count;
    waiting->item.runs_alone = false;
    state_->queue.Push(*std::move(waiting));
  }
}

void RunnerAdmission::SetPolicy(const AdmissionPolicy& policy) {
  state_->policy = policy;
  state_->pointers.SetLimits(policy.pointer_lifetime, policy.max_pointers);
}

PoolDemand RunnerAdmission::Demand(core::TimePoint now) const {
  return state_->Demand(now);
}

uint32_t RunnerAdmission::running_requests() const {
  return static_cast<uint32_t>(state_->running.size());
}

uint32_t RunnerAdmission::waiting_requests() const {
  return static_cast<uint32_t>(state_->queue.size());
}

size_t RunnerAdmission::pointer_count() const {
  return state_->pointers.size();
}

}  // namespace wasabi::routing
