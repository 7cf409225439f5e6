#include "LibIntent/order_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::intent {

OrderController::OrderController(std::string holder, OrderOptions options)
    : holder_(std::move(holder)), options_(options) {}

void OrderController::SetConfiguration(ConfigurationView configuration) {
  configuration_ = std::move(configuration);
}

void OrderController::SetPools(PoolMembers pools) {
  pools_ = std::move(pools);
  std::erase_if(endpoints_, [this](const auto& entry) {
    return PoolOf(pools_, entry.first).empty();
  });
}

void OrderController::SetOwnedPools(std::set<core::PoolId> pools) {
  owned_pools_ = std::move(pools);
}

const WantedState* OrderController::FindWantedState(
    const std::string& endpoint) const {
  const auto it = configuration_->wanted_states.find(endpoint);
  return it == configuration_->wanted_states.end() ? nullptr : &it->second;
}

const std::set<std::string>& OrderController::MembersReadyForOrders(
    core::TimePoint now,
    const core::PoolId& pool) const {
  static const std::set<std::string> kNone;
  const auto members = pools_.find(pool);
  const auto pool_state = pool_states_.find(pool);
  const bool is_ready = members != pools_.end() &&
                        pool_state != pool_states_.end() && IsHolder(pool) &&
                        now >= pool_state->second.orders_allowed_at;
  return is_ready ? members->second : kNone;
}

bool OrderController::HasUnreadEndpoint(
    const std::set<std::string>& members) const {
  return std::any_of(members.begin(), members.end(),
                     [this](const std::string& name) {
                       const auto it = endpoints_.find(name);
                       return FindWantedState(name) != nullptr &&
                              (it == endpoints_.end() || it->second.needs_read);
                     });
}

bool OrderController::HasWantedState(const core::PoolId& pool) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return false;
  }
  return std::any_of(it->second.begin(), it->second.end(),
                     [this](const std::string& endpoint) {
                       return FindWantedState(endpoint) != nullptr;
                     });
}

bool OrderController::IsHolder(const core::PoolId& pool) const {
  const CurrentClaim* claim = claims_.Find(pool);
  return claim != nullptr && claim->holder == holder_;
}

bool OrderController::IsLoading(const std::string& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) {
    return false;
  }
  const Endpoint& state = it->second;
  return state.is_ordering || state.ordered_at ||
         (state.observed && !state.observed->is_applied);
}

bool OrderController::IsServing(const std::string& endpoint) const {
  if (configuration_->drained_endpoints.contains(endpoint) ||
      IsLoading(endpoint)) {
    return false;
  }
  if (FindWantedState(endpoint) == nullptr) {
    return true;
  }
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && it->second.observed &&
         it->second.observed->state.role == "serving";
}

size_t OrderController::CountLoading(const core::PoolId& pool) const {
  const std::set<std::string>& endpoints = pools_.at(pool);
  return static_cast<size_t>(std::count_if(
      endpoints.begin(), endpoints.end(),
      [this](const std::string& endpoint) { return IsLoading(endpoint); }));
}

bool OrderController::CanStartLoading(const core::PoolId& pool,
                                      const std::string& endpoint) const {
  const std::set<std::string>& endpoints = pools_.at(pool);
  const auto share = static_cast<size_t>(options_.loading_share *
                                         static_cast<double>(endpoints.size()));
  if (CountLoading(pool) >= std::max<size_t>(share, 1)) {
    return false;
  }
  if (!IsServing(endpoint)) {
    return true;
  }
  // The last serving endpoint of a pool must not load until another one serves.
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&](const std::string& other) {
                       return other != endpoint && IsServing(other);
                     });
}

bool OrderController::AreClaimsFresh(core::TimePoint now) const {
  return claims_read_at_ && now - *claims_read_at_ <= options_.claim_freshness;
}

void OrderController::OnClaims(core::TimePoint asked_at,
                               const absl::StatusOr<platform::LogPage>& page) {
  is_reading_claims_ = false;
  if (!page.ok()) {
    return;
  }
  claims_.Fold(*page);
  // Only a page that reaches the end of the log shows the current holders. A
  // page whose end is below the offsets already read is stale.
  if (claims_.next_offset() == page->end) {
    claims_read_at_ = asked_at;
  }
  ApplyClaims(asked_at);
}

void OrderController::OnClaimsTruncated(platform::Offset first_retained) {
  is_reading_claims_ = false;
  claims_.SkipTo(first_retained);
}

void OrderController::ApplyClaims(core::TimePoint read_at) {
  for (auto& [pool_id, pool] : pool_states_) {
    const CurrentClaim* claim = claims_.Find(pool_id);
    if (claim == nullptr || claim->fencing_number == pool.fencing_number) {
      continue;
    }
    pool.fencing_number = claim->fencing_number;
    pool.needs_new_claim = false;
    pool.orders_allowed_at = read_at + options_.take_over_wait;
    // A previous holder may have sent orders, so every endpoint is read again
    // after a new claim.
    const auto members = pools_.find(pool_id);
    if (members == pools_.end()) {
      continue;
    }
    for (const std::string& endpoint : members->second) {
      endpoints_[endpoint].observed.reset();
      endpoints_[endpoint].needs_read = true;
    }
  }
}

void OrderController::OnClaimAppended(const core::PoolId& pool) {
  pool_states_[pool].is_claiming = false;
  claims_read_at_.reset();
}

void OrderController::OnEndpointState(
    core::TimePoint now,
    const std::string& endpoint,
    const absl::StatusOr<EndpointState>& state) {
  Endpoint& it = endpoints_[endpoint];
  it.is_reading = false;
  it.needs_read = false;
  it.observed_at = now;
  if (!state.ok()) {
    it.observed.reset();
    return;
  }
  it.observed = *state;
  const WantedState* wanted = FindWantedState(endpoint);
  const bool is_as_wanted = wanted != nullptr && state->state == *wanted;
  const bool is_done = is_as_wanted && state->is_applied;
  if (is_done) {
    it.reached = *wanted;
    it.waiting_since.reset();
  }
  const bool is_late =
      it.ordered_at && now - *it.ordered_at > options_.load_timeout;
  if (is_done || !is_as_wanted || is_late) {
    it.ordered_at.reset();
  }
  if (is_late && !is_done) {
    it.waiting_since = now;
    it.reached.reset();
  }
}

void OrderController::OnOrderAnswered(core::TimePoint now,
                                      const std::string& endpoint,
                                      const absl::Status& status) {
  Endpoint& it = endpoints_[endpoint];
  it.is_ordering = false;
  it.observed.reset();
  it.observed_at = now;
  if (status.ok()) {
    it.ordered_at = now;
    return;
  }
  // The order may have taken effect even though its response was lost.
  it.needs_read = true;
  it.retry_at = now + options_.retry_pause;
  it.waiting_since = now;
  if (core::CodeOf(status) == core::ResultCode::kOrderRefused) {
    // The endpoint has accepted an order with a higher fencing number.
    pool_states_[PoolOf(pools_, endpoint)].needs_new_claim = true;
    claims_read_at_.reset();
  }
}

std::vector<OrderAction> OrderController::Tick(core::TimePoint now) {
  std::vector<OrderAction> actions;
  DetectPause(now);
  const bool has_work = std::any_of(
      owned_pools_.begin(), owned_pools_.end(),
      [this](const core::PoolId& pool) { return HasWantedState(pool); });
  if (!has_work) {
    return actions;
  }
  ClaimPools(now, &actions);
  ReadStates(now, &actions);
  SendOrders(now, &actions);
  return actions;
}

void OrderController::DetectPause(core::TimePoint now) {
  if (last_tick_ && now - *last_tick_ > options_.pause_threshold) {
    claim_not_before_ = now + options_.settle_time;
    claims_read_at_.reset();
  }
  last_tick_ = now;
}

void OrderController::RequestClaims(std::vector<OrderAction>* actions) {
  if (!is_reading_claims_) {
    is_reading_claims_ = true;
    actions->push_back(ReadClaims{claims_.next_offset()});
  }
}

void OrderController::ClaimPools(core::TimePoint now,
                                 std::vector<OrderAction>* actions) {
  for (const core::PoolId& pool_id : owned_pools_) {
    Pool& pool = pool_states_[pool_id];
    const bool is_held = IsHolder(pool_id) && !pool.needs_new_claim;
    if (!HasWantedState(pool_id) || is_held) {
      continue;
    }
    if (!AreClaimsFresh(now)) {
      RequestClaims(actions);
      continue;
    }
    const bool is_too_soon =
        pool.claimed_at && now - *pool.claimed_at < options_.claim_interval;
    if (pool.is_claiming || is_too_soon || now < claim_not_before_) {
      continue;
    }
    pool.is_claiming = true;
    pool.claimed_at = now;
    actions->push_back(AppendClaim{{pool_id, holder_}});
  }
}

void OrderController::ReadStates(core::TimePoint now,
                                 std::vector<OrderAction>* actions) {
  for (const core::PoolId& pool : owned_pools_) {
    for (const std::string& name : MembersReadyForOrders(now, pool)) {
      Endpoint& it = endpoints_[name];
      const core::Duration period = it.observed && !IsLoading(name)
                                        ? options_.read_back_period
                                        : options_.loading_poll_period;
      const bool is_due = now - it.observed_at >= period;
      if (FindWantedState(name) == nullptr || it.is_reading || it.is_ordering ||
          !is_due) {
        continue;
      }
      it.is_reading = true;
      actions->push_back(ReadEndpointState{name});
    }
  }
}

std::vector<OrderController::Candidate> OrderController::FindCandidates(
    core::TimePoint now) {
  std::vector<Candidate> candidates;
  for (const core::PoolId& pool : owned_pools_) {
    const std::set<std::string>& members = MembersReadyForOrders(now, pool);
    if (HasUnreadEndpoint(members)) {
      continue;
    }
    for (const std::string& name : members) {
      const WantedState* wanted = FindWantedState(name);
      Endpoint& it = endpoints_[name];
      const bool needs_order =
          wanted != nullptr && it.observed && it.observed->state != *wanted;
      if (!needs_order || it.is_reading || it.is_ordering || it.ordered_at ||
          now < it.retry_at) {
        continue;
      }
      if (!it.waiting_since) {
        it.waiting_since = now;
      }
      candidates.push_back({*it.waiting_since, name, pool});
    }
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

void OrderController::SendOrders(core::TimePoint now,
                                 std::vector<OrderAction>* actions) {
  const std::vector<Candidate> candidates = FindCandidates(now);
  if (candidates.empty()) {
    return;
  }
  if (!AreClaimsFresh(now)) {
    RequestClaims(actions);
    return;
  }
  size_t loading = 0;
  for (const core::PoolId& pool : owned_pools_) {
    loading += pools_.contains(pool) ? CountLoading(pool) : 0;
  }
  for (const Candidate& candidate : candidates) {
    if (loading >= static_cast<size_t>(options_.max_loads)) {
      return;
    }
    if (pool_states_[candidate.pool].needs_new_claim ||
        !CanStartLoading(candidate.pool, candidate.endpoint)) {
      continue;
    }
    Endpoint& it = endpoints_[candidate.endpoint];
    const WantedState& wanted = *FindWantedState(candidate.endpoint);
    it.is_ordering = true;
    ++loading;
    actions->push_back(SendOrder{candidate.endpoint, wanted,
                                 claims_.Find(candidate.pool)->fencing_number,
                                 it.reached == wanted});
  }
}

size_t OrderController::CountPending() const {
  size_t n = 0;
  for (const auto& [endpoint, wanted] : configuration_->wanted_states) {
    const core::PoolId pool = PoolOf(pools_, endpoint);
    if (pool.empty() || !IsHolder(pool)) {
      continue;
    }
    const auto it = endpoints_.find(endpoint);
    const bool is_done = it != endpoints_.end() && it->second.observed &&
                         it->second.observed->is_applied &&
                         it->second.observed->state == wanted;
    n += is_done ? 0 : 1;
  }
  return n;
}

}  // namespace wasabi::intent
