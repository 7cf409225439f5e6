#include "Utilities/DecisionBench/pool_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::bench {

namespace {

using routing::PointerUse;
using routing::Verdict;

constexpr core::Duration kTick = core::milliseconds(100);
// Virtual time starts at an offset, so that subtracting an age from it does not
// underflow.
constexpr core::TimePoint kStart{std::chrono::hours(1)};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(share * last))];
}

uint64_t NumberOf(const core::RequestId& request) {
  return core::ParseNumber<uint64_t>(request.value()).value_or(0);
}

}  // namespace

void PoolSimulation::Ratio::Add(bool is_hit) {
  hits += is_hit ? 1 : 0;
  ++total;
}

double PoolSimulation::Ratio::Share() const {
  return total == 0 ? 0
                    : static_cast<double>(hits) / static_cast<double>(total);
}

void PoolSimulation::Stopwatch::Add(
    std::chrono::steady_clock::time_point begin) {
  sum += std::chrono::steady_clock::now() - begin;
  ++calls;
}

double PoolSimulation::Stopwatch::MeanNanoseconds() const {
  const auto nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(sum);
  return static_cast<double>(nanoseconds.count()) /
         static_cast<double>(std::max<uint64_t>(1, calls));
}

absl::StatusOr<std::unique_ptr<PoolSimulation>> PoolSimulation::Create(
    const SimulationOptions& options) {
  TRY_ASSIGN(auto strategy,
             routing::MakePlacementStrategy(options.strategy,
                                            options.load_bound, options.seed));
  return std::unique_ptr<PoolSimulation>(
      new PoolSimulation(options, std::move(strategy)));
}

PoolSimulation::PoolSimulation(
    const SimulationOptions& options,
    std::unique_ptr<routing::PlacementStrategy> strategy)
    : options_(options),
      strategy_(std::move(strategy)),
      arrival_random_(options.seed),
      service_random_(~options.seed),
      now_(kStart),
      end_(kStart + options.duration),
      measure_from_(kStart + options.warm_up),
      running_(options.runners) {
  const routing::AdmissionPolicy policy = {
      .load_bound = options.load_bound,
      .max_running = options.max_running,
      .max_waiting = options.max_running,
      .prefill_tokens_per_second = options.prefill_tokens_per_second,
      .pool_lag = options.report_lag,
      .minimum_cap = options.minimum_cap};
  for (uint32_t i = 0; i < options.runners; ++i) {
    const core::RunnerId id(fmt::format("runner-{}", i));
    views_.push_back({id, 1.0, 0});
    admissions_.push_back(
        std::make_unique<routing::RunnerAdmission>(id, policy));
  }
  result_.strategy = options.strategy;
  InitialiseChats();
}

// Initialises every chat as if its previous turn had run on its first choice,
// long before the start.
void PoolSimulation::InitialiseChats() {
  const auto count = static_cast<size_t>(options_.pause_seconds *
                                         options_.requests_per_second);
  for (size_t i = 0; i < std::max<size_t>(1, count); ++i) {
    chat_keys_.emplace_back(fmt::format("chat-{}", i));
    const std::vector<size_t> order =
        strategy_->Order(views_, chat_keys_.back(), i);
    chats_.push_back({static_cast<uint32_t>(order.front()), false});
  }
}

SimulationResult PoolSimulation::Run() {
  PublishReports();
  events_.push({now_ + DrawGap(), EventKind::kArrival, 0});
  events_.push({now_ + kTick, EventKind::kTick, 0});
  if (options_.one_runner_leaves) {
    events_.push(
        {measure_from_ + (end_ - measure_from_) / 2, EventKind::kLeave, 0});
  }
  while (!events_.empty() && events_.top().time < end_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    Handle(event);
  }
  result_.requests = requests_.size();
  result_.skew_p50 = Percentile(skews_, 0.5);
  result_.skew_p99 = Percentile(skews_, 0.99);
  result_.share_of_samples_above_bound = above_bound_.Share();
  result_.share_of_starts_above_bound = starts_above_bound_.Share();
  result_.warm_share = warm_.Share();
  result_.warm_share_first_turn_after_leave = warm_first_after_leave_.Share();
  result_.warm_share_later_turns_after_leave = warm_later_after_leave_.Share();
  result_.waited_share = waited_.Share();
  result_.displaced_share = displaced_.Share();
  result_.wait_seconds_p99 = Percentile(waits_, 0.99);
  result_.order_nanoseconds = order_time_.MeanNanoseconds();
  result_.offer_nanoseconds = offer_time_.MeanNanoseconds();
  result_.offers_per_request =
      static_cast<double>(offer_time_.calls) /
      static_cast<double>(std::max<uint64_t>(1, result_.requests));
  for (const auto& it : admissions_) {
    result_.pointers += it->pointer_count();
  }
  return result_;
}

void PoolSimulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      HandleArrival();
      break;
    case EventKind::kEnd:
      HandleEnd(event.request);
      break;
    case EventKind::kTick:
      HandleTick();
      break;
    case EventKind::kLeave:
      HandleLeave();
      break;
  }
}

void PoolSimulation::HandleArrival() {
  events_.push({now_ + DrawGap(), EventKind::kArrival, 0});
  const uint64_t number = requests_.size();
  Request request;
  request.chat = DrawChat();
  request.arrival = now_;
  request.service = DrawServiceTime();
  requests_.push_back(std::move(request));

  Request& added = requests_.back();
  const auto begin = std::chrono::steady_clock::now();
  added.order = strategy_->Order(views_, chat_keys_[added.chat], number);
  order_time_.Add(begin);
  if (options_.max_choices > 0 && added.order.size() > options_.max_choices) {
    added.order.resize(options_.max_choices);
    added.order.shrink_to_fit();
  }
  if (strategy_->IsBoundEnforcedByOwner()) {
    PlaceByOwners(number);
  } else {
    PlaceUnbounded(number);
  }
}

void PoolSimulation::HandleEnd(uint64_t request_number) {
  Request& request = requests_[request_number];
  --running_[request.runner];
  --total_running_;
  request.order = {};
  if (!strategy_->IsBoundEnforcedByOwner()) {
    return;
  }
  admissions_[request.runner]->Finish(
      core::RequestId(fmt::format("{}", request_number)), now_);
  AdvanceRunner(request.runner);
}

void PoolSimulation::HandleTick() {
  events_.push({now_ + kTick, EventKind::kTick, 0});
  PublishReports();
  SampleLoad();
  for (size_t i = 0; i < admissions_.size(); ++i) {
    if (admissions_[i]->waiting_requests() > 0) {
      AdvanceRunner(i);
    }
  }
}

void PoolSimulation::HandleLeave() {
  left_runner_ = 0;
  views_[0].weight = 0;
  admissions_[0]->SetAcceptsWork(false);
  for (const auto& it : admissions_) {
    it->ErasePointersTo(views_[0].id);
  }
  AdvanceRunner(0);
}

bool PoolSimulation::IsSurge() const {
  const core::Duration third = (end_ - measure_from_) / 3;
  return !options_.one_runner_leaves && now_ >= measure_from_ + third &&
         now_ < measure_from_ + 2 * third;
}

uint32_t PoolSimulation::DrawChat() {
  uint64_t candidates = chats_.size();
  const double surplus = 1 - 1 / options_.surge_factor;
  if (IsSurge() && arrival_random_.Unit() < surplus) {
    candidates = std::max<uint64_t>(
        1, static_cast<uint64_t>(options_.surge_chats *
                                 static_cast<double>(candidates)));
  }
  return static_cast<uint32_t>(arrival_random_.Below(candidates));
}

core::Duration PoolSimulation::DrawServiceTime() {
  const double radius = std::sqrt(-2 * std::log(1 - service_random_.Unit()));
  const double normal =
      radius * std::cos(2 * std::numbers::pi * service_random_.Unit());
  const double deviation = options_.service_deviation;
  const double exponent = deviation * normal - deviation * deviation / 2;
  return core::FromSeconds(options_.service_seconds * std::exp(exponent));
}

core::Duration PoolSimulation::DrawGap() {
  const double factor = IsSurge() ? options_.surge_factor : 1;
  const double rate = options_.requests_per_second * factor;
  return core::FromSeconds(-std::log(1 - arrival_random_.Unit()) / rate);
}

routing::WorkItem PoolSimulation::MakeItem(uint64_t number,
                                           const Request& request) const {
  routing::WorkItem item;
  item.request = core::RequestId(fmt::format("{}", number));
  item.organisation =
      core::OrganisationId(fmt::format("organisation-{}", request.chat % 10));
  item.chat = chat_keys_[request.chat];
  item.size = {options_.prompt_tokens, options_.reusable_tokens,
               options_.output_tokens};
  item.deadline = request.arrival + options_.deadline;
  item.choice = request.choice;
  item.pointer_use = request.pointer_use;
  return item;
}

// Tries the runners in preference order, starting at the request's current
// choice.
void PoolSimulation::PlaceByOwners(uint64_t number) {
  Request& request = requests_[number];
  const size_t choices = request.order.size();
  for (; request.choice < choices; ++request.choice) {
    const bool is_last = request.choice + 1 == choices;
    if (OfferTo(request.order[request.choice], number, is_last)) {
      return;
    }
  }
  RecordRefusal(number);
}

void PoolSimulation::PlaceUnbounded(uint64_t number) {
  Request& request = requests_[number];
  for (; request.choice < request.order.size(); ++request.choice) {
    const size_t runner = request.order[request.choice];
    if (running_[runner] < options_.max_running) {
      StartOn(runner, number);
      return;
    }
  }
  RecordRefusal(number);
}

bool PoolSimulation::OfferTo(size_t runner,
                             uint64_t number,
                             bool is_last_choice) {
  Request& request = requests_[number];
  routing::WorkItem item = MakeItem(number, request);
  item.is_last_choice = is_last_choice;
  const auto begin = std::chrono::steady_clock::now();
  const routing::AdmissionDecision decision =
      admissions_[runner]->Offer(item, LaggingDemand(), now_);
  offer_time_.Add(begin);
  switch (decision.verdict) {
    case Verdict::kRun:
      StartOn(runner, number);
      return true;
    case Verdict::kWait:
      request.has_waited = true;
      return true;
    case Verdict::kTryNext:
      return false;
    case Verdict::kRefuse:
      RecordRefusal(number);
      return true;
    case Verdict::kFollowPointer:
      break;
  }
  const auto target =
      std::find_if(views_.begin(), views_.end(),
                   [&](const auto& it) { return it.id == decision.pointer; });
  request.pointer_use = PointerUse::kFollowed;
  if (OfferTo(static_cast<size_t>(target - views_.begin()), number, false)) {
    return true;
  }
  request.pointer_use = PointerUse::kSkipped;
  return OfferTo(runner, number, is_last_choice);
}

void PoolSimulation::StartOn(size_t runner, uint64_t number) {
  Request& request = requests_[number];
  request.runner = runner;
  ++running_[runner];
  ++total_running_;
  ChatState& chat = chats_[request.chat];
  const bool is_warm = chat.last_runner == runner;
  RecordWarmth(request, is_warm);
  chat.last_runner = static_cast<uint32_t>(runner);

  const bool is_home = runner == request.order.front();
  const bool is_displaced =
      !is_home && request.pointer_use != PointerUse::kFollowed;
  if (is_displaced && strategy_->IsBoundEnforcedByOwner()) {
    admissions_[request.order.front()]->RecordPointer(chat_keys_[request.chat],
                                                      views_[runner].id, now_);
  }
  if (request.arrival >= measure_from_) {
    starts_above_bound_.Add(running_[runner] > CapAt(MeanRunning()));
    waited_.Add(request.has_waited);
    displaced_.Add(!is_home);
    waits_.push_back(core::ToSeconds(now_ - request.arrival));
  }
  core::Duration service = request.service;
  if (!is_warm) {
    service += core::FromSeconds(options_.reusable_tokens /
                                 options_.prefill_tokens_per_second);
  }
  events_.push({now_ + service, EventKind::kEnd, number});
}

void PoolSimulation::RecordWarmth(const Request& request, bool is_warm) {
  if (request.arrival < measure_from_) {
    return;
  }
  warm_.Add(is_warm);
  if (!left_runner_.has_value()) {
    return;
  }
  ChatState& chat = chats_[request.chat];
  Ratio& ratio = chat.had_turn_after_leave ? warm_later_after_leave_
                                           : warm_first_after_leave_;
  ratio.Add(is_warm);
  chat.had_turn_after_leave = true;
}

void PoolSimulation::RecordRefusal(uint64_t number) {
  requests_[number].order = {};
  ++result_.refused;
  double demand = 0;
  for (const auto& it : admissions_) {
    demand += it->Demand(now_).requests;
  }
  const double cap = CapAt(demand / static_cast<double>(views_.size()));
  const bool has_room = std::any_of(running_.begin(), running_.end(),
                                    [&](uint32_t it) { return it < cap; });
  result_.refused_while_a_runner_was_under_its_cap += has_room ? 1 : 0;
}

void PoolSimulation::AdvanceRunner(size_t runner) {
  const routing::AdmissionProgress progress =
      admissions_[runner]->Advance(LaggingDemand(), now_);
  for (const core::RequestId& it : progress.to_run) {
    StartOn(runner, NumberOf(it));
  }
  for (const core::RequestId& it : progress.to_refuse) {
    RecordRefusal(NumberOf(it));
  }
  for (const core::RequestId& it : progress.to_displace) {
    const uint64_t number = NumberOf(it);
    Request& request = requests_[number];
    if (request.pointer_use == PointerUse::kFollowed) {
      request.pointer_use = PointerUse::kSkipped;
    } else {
      ++request.choice;
    }
    PlaceByOwners(number);
  }
}

void PoolSimulation::PublishReports() {
  Report report;
  report.time = now_;
  report.running = running_;
  for (const auto& it : admissions_) {
    report.demand = report.demand + it->Demand(now_);
  }
  reports_.push_back(std::move(report));
  while (reports_.size() > 1 &&
         reports_[1].time <= now_ - options_.report_lag) {
    reports_.pop_front();
  }
  for (size_t i = 0; i < views_.size(); ++i) {
    views_[i].reported_requests = reports_.front().running[i];
  }
}

const routing::PoolDemand& PoolSimulation::LaggingDemand() const {
  return reports_.front().demand;
}

double PoolSimulation::CapAt(double mean) const {
  const double cap = std::ceil(options_.load_bound * mean - 1e-9);
  return std::clamp<double>(cap, 1, options_.max_running);
}

// Returns the mean number of running requests over the runners that accept
// work.
double PoolSimulation::MeanRunning() const {
  uint64_t sum = total_running_;
  size_t runners = running_.size();
  if (left_runner_.has_value()) {
    sum -= running_[*left_runner_];
    --runners;
  }
  return static_cast<double>(sum) / static_cast<double>(runners);
}

void PoolSimulation::SampleLoad() {
  if (now_ < measure_from_) {
    return;
  }
  double most = 0;
  for (size_t i = 0; i < running_.size(); ++i) {
    if (views_[i].weight > 0) {
      most = std::max<double>(most, running_[i]);
    }
  }
  const double mean = MeanRunning();
  skews_.push_back(most / std::max(1.0, mean));
  const double excess = most - CapAt(mean);
  above_bound_.Add(excess > 0);
  result_.worst_excess = std::max(result_.worst_excess, excess);
}

}  // namespace wasabi::bench
