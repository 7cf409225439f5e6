#include "LibRouting/pool_admission.h"

#include <algorithm>

namespace wasabi::routing {

namespace {

// The present rate of arrivals is measured over this time.
constexpr core::Duration kArrivalTime = core::seconds(1);
// The usual demand of an organisation is measured over this time, which is long
// against an overload of some seconds.
constexpr core::Duration kUsualTime = core::seconds(60);
// Organisations whose usual demand is known, about 100 bytes each.
constexpr size_t kMaxOrganisations = 4096;
// Free places are no longer believed in at this age of the counts.
constexpr core::Duration kRoomLifetime = core::seconds(2);
// Share of the completions that are taken to be left for a priority, however
// many more urgent requests arrive.
constexpr double kMinRateShare = 0.05;
// A host's queue may move this many times as fast as its own requests end,
// since it also gets places that others have left. In the replay of 90 hosts 1
// refused urgent requests that could have started in time.
constexpr double kHostRateFactor = 2;
// A host without requests at the pool is taken to have this many, since it also
// sees places that others have left.
constexpr double kMinRunningHere = 1;
// Callers honour a delay up to this share of their remaining time.
constexpr double kReturnShare = 1.0 / 3;
constexpr core::Duration kMinReturn = core::milliseconds(50);
// Range of the delay while nothing is known of the pool.
constexpr core::Duration kMinBlindReturn = core::milliseconds(100);
constexpr core::Duration kMaxBlindReturn = core::seconds(1);

}  // namespace

double PoolAdmission::RecordArrival(const WorkItem& item, core::TimePoint now) {
  arrivals_[item.priority].Add(0, kArrivalTime, now);
  if (usual_.size() >= kMaxOrganisations &&
      !usual_.contains(item.organisation)) {
    ForgetOldest();
  }
  UsualDemand& usual = usual_[item.organisation];
  usual.requests.Add(0, kUsualTime, now);
  usual.last_at = now;
  return usual.requests.Requests(kUsualTime, now);
}

void PoolAdmission::ForgetOldest() {
  const auto oldest = std::min_element(
      usual_.begin(), usual_.end(), [](const auto& a, const auto& b) {
        return a.second.last_at < b.second.last_at;
      });
  usual_.erase(oldest);
}

PoolAdmission::Rates PoolAdmission::RatesFor(Priority priority,
                                             const PoolOutlook& pool,
                                             core::TimePoint now) const {
  if (!pool.service_time) {
    return {};
  }
  double urgent = 0;
  for (const auto& [it, arrivals] : arrivals_) {
    if (it < priority) {
      urgent +=
          arrivals.Requests(kArrivalTime, now) / core::ToSeconds(kArrivalTime);
    }
  }
  const auto left = [&](double running, double urgent_rate) {
    const double rate = running / core::ToSeconds(*pool.service_time);
    return std::max(rate * kMinRateShare, rate - urgent_rate);
  };
  const double running =
      std::min(pool.places, std::max(1.0, pool.running.requests));
  const double running_here =
      std::min(running, std::max(kMinRunningHere, pool.running_here));
  return {.fleet = left(running, urgent * pool.hosts),
          .host = left(running_here, urgent)};
}

double PoolAdmission::Ahead(Priority priority,
                            size_t here,
                            const PoolOutlook& pool) const {
  const auto of_class = static_cast<double>(queue_.SizeOf(priority));
  const double more_urgent =
      static_cast<double>(queue_.CountAhead(priority)) - of_class;
  const double rank = static_cast<double>(here) - more_urgent;
  // The queues of other hosts are taken to be like this one. The middle of the
  // places between two requests of this host stands for all of them.
  const double share = std::min(1.0, (rank + 0.5) / (of_class + 1));
  auto ahead = static_cast<double>(here);
  for (const auto& [it, n] : pool.waiting_elsewhere) {
    if (it < priority) {
      ahead += n;
    } else if (it == priority) {
      ahead += n * share;
    }
  }
  return ahead;
}

std::optional<core::Duration> PoolAdmission::ExpectedStart(
    const WorkItem& item,
    const PoolOutlook& pool,
    core::TimePoint now) const {
  return StartAfter(queue_.CountAhead(item), item.priority, pool, now);
}

std::optional<core::Duration> PoolAdmission::ExpectedStart(
    const core::RequestId& request,
    const PoolOutlook& pool,
    core::TimePoint now) const {
  const WaitingItem* waiting = queue_.Find(request);
  if (waiting == nullptr) {
    return std::nullopt;
  }
  return StartAfter(queue_.CountAhead(request), waiting->item.priority, pool,
                    now);
}

std::optional<core::Duration> PoolAdmission::StartAfter(
    size_t here,
    Priority priority,
    const PoolOutlook& pool,
    core::TimePoint now) const {
  const double freshness = std::max(
      0.0, 1 - core::ToSeconds(pool.age) / core::ToSeconds(kRoomLifetime));
  const double room =
      std::max(0.0, pool.places - pool.running.requests) * freshness;
  const double ahead = Ahead(priority, here, pool);
  if (ahead < room) {
    return core::Duration::zero();
  }
  const Rates rates = RatesFor(priority, pool, now);
  if (rates.fleet <= 0) {
    return std::nullopt;
  }
  // While the pool is full, a place that becomes free is known first to the
  // host whose request has ended, so that a host's queue moves mostly at the
  // rate at which its own requests end.
  const double of_fleet = (ahead + 1 - room) / rates.fleet;
  const double of_host =
      (static_cast<double>(here) + 1) / (rates.host * kHostRateFactor);
  return core::FromSeconds(std::max(of_fleet, of_host));
}

core::Duration PoolAdmission::TakeReturnTime(const WorkItem& item,
                                             const PoolOutlook& pool,
                                             core::Duration remaining,
                                             core::TimePoint now,
                                             core::RandomSource& random) {
  const core::Duration limit =
      core::FromSeconds(core::ToSeconds(remaining) * kReturnShare);
  const auto between = [&random](core::Duration from, core::Duration to) {
    return from + core::FromSeconds(core::ToSeconds(to - from) * random.Unit());
  };
  const auto expected = ExpectedStart(item, pool, now);
  if (limit <= kMinReturn) {
    return std::max<core::Duration>(limit, core::milliseconds(1));
  }
  if (!expected) {
    return between(std::min(kMinBlindReturn, limit / 2),
                   std::min(kMaxBlindReturn, limit));
  }
  core::TimePoint place = now + std::max(*expected, kMinReturn);
  // Less urgent requests come back after the more urgent ones.
  for (const auto& [priority, next] : next_return_) {
    if (priority <= item.priority) {
      place = std::max(place, next);
    }
  }
  if (place > now + limit) {
    return between(limit / 2, limit);
  }
  const double rate = RatesFor(item.priority, pool, now).fleet / pool.hosts;
  next_return_[item.priority] = place + core::FromSeconds(1 / rate);
  return place - now;
}

}  // namespace wasabi::routing
