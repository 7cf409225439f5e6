#include "LibForwarding/endpoint_pace.h"

#include <algorithm>
#include <cmath>

#include "LibCore/hash.h"
#include "LibCore/random_source.h"
#include "LibForwarding/endpoint_counts.h"

namespace wasabi::forwarding {

namespace {

// Time in which an own observation loses 63 % of its weight. It is longer than
// a few changes of a speed that swings, and short against a slow phase.
constexpr double kOwnDecaySeconds = 0.25;
// Seconds at the usual pace that are assumed besides the observations, so that
// one gap beside a long prompt does not make an endpoint slow.
constexpr double kPriorSeconds = 0.06;
// Seconds of usual work for which a fresh report of another host counts, and
// the range of the time in which it loses 63 % of its weight.
constexpr double kReportedSeconds = 0.4;
constexpr double kMinReportedDecaySeconds = 0.8;
constexpr double kMaxReportedDecaySeconds = 2.5;
// A statement counts as much as one or two gaps.
constexpr double kStatedSeconds = 0.06;
// A single gap counts for at most this many usual ones: it may be due to a
// pause of this host.
constexpr double kMaxPace = 10;

// Share of the gap objective that the estimate may reach. A stream has tens of
// gaps, of which the longest counts, and estimates lag behind.
constexpr double kGapMargin = 0.5;
// Share of an objective from which on a request comes near it: half of the
// share at which endpoints are avoided, because an estimate that fades is soon
// too low by that factor. With 0.5, 5 in 100 streams were late where a tenth of
// the hosts heard no reports (the bound: 4 in 100).
constexpr double kNearShare = 0.25;

// Returns whether work that usually takes `usual` exceeds this share of an
// objective at this pace. False without an objective.
bool ExceedsShare(std::optional<core::Duration> usual,
                  double pace,
                  core::Duration objective,
                  double share) {
  return usual && objective > core::Duration::zero() &&
         core::ToSeconds(*usual) * pace > core::ToSeconds(objective) * share;
}

// Observations that a report takes: two, of which the first has decayed for up
// to 0.4 s.
constexpr double kMinCount = 1.2;
// Other hosts hear of an endpoint that is slower than kReportedPace, that is no
// longer slower than kUsualPace, or whose pace has changed by this ratio.
// Single estimates beside long prompts differ by less.
constexpr double kReportedPace = 2.2;
constexpr double kUsualPace = 1.3;
constexpr double kMinReportedRatio = 2;
// A slow endpoint is reported again after this time, and by one host at least
// before its report has faded.
constexpr core::Duration kRepeatInterval = core::milliseconds(1000);
constexpr core::Duration kMinInterval = core::milliseconds(300);
// A report that is older counts no more.
constexpr core::Duration kLifetime = core::seconds(5);

}  // namespace

EndpointPace::Evidence EndpointPace::At(const Evidence& evidence,
                                        core::TimePoint now) {
  const double age = core::ToSeconds(now - evidence.updated_at);
  const double kept = age <= 0 ? 1 : std::exp(-age / kOwnDecaySeconds);
  return {.seconds = evidence.seconds * kept,
          .log_pace_seconds = evidence.log_pace_seconds * kept,
          .count = evidence.count * kept,
          .updated_at = now};
}

void EndpointPace::Add(const core::RunnerId& endpoint,
                       double pace,
                       double seconds,
                       core::TimePoint now) {
  Evidence& own = entries_[EndpointKeyOf(endpoint)].own;
  own = At(own, now);
  own.seconds += seconds;
  own.log_pace_seconds += seconds * std::log(std::min(pace, kMaxPace));
  own.count += 1;
}

void EndpointPace::RecordGap(const core::PoolId& pool,
                             const core::RunnerId& endpoint,
                             core::Duration gap,
                             uint32_t load,
                             core::TimePoint now) {
  if (gap <= core::Duration::zero()) {
    return;
  }
  GapBaseline& baseline = baselines_[pool];
  const auto usual = baseline.Usual(load);
  if (usual) {
    const double seconds = core::ToSeconds(*usual);
    Add(endpoint, core::ToSeconds(gap) / seconds, seconds, now);
  }
  baseline.Record(gap, load, PaceOf(endpoint, now) < kSlowPace);
}

void EndpointPace::RecordAnswer(const core::PoolId& pool,
                                const core::RunnerId& endpoint,
                                const CallerNeeds& needs,
                                core::Duration time,
                                core::TimePoint now) {
  if (PaceOf(endpoint, now) < kSlowPace) {
    answers_[pool].Record(needs, time);
  }
}

void EndpointPace::RecordStated(const core::PoolId& pool,
                                const core::RunnerId& endpoint,
                                double pace,
                                core::TimePoint now) {
  stating_pools_.insert(pool);
  Add(endpoint, pace, kStatedSeconds, now);
}

void EndpointPace::Forget(const core::RunnerId& endpoint, core::TimePoint now) {
  Entry& entry = entries_[EndpointKeyOf(endpoint)];
  entry = Entry();
  entry.valid_from = now;
}

double EndpointPace::PaceOf(uint32_t key,
                            const Entry& entry,
                            core::TimePoint now) const {
  const Evidence own = At(entry.own, now);
  double seconds = kPriorSeconds + own.seconds;
  double log_pace_seconds = own.log_pace_seconds;
  if (entry.reported && now - entry.reported->observed_at < kLifetime) {
    const double age = core::ToSeconds(now - entry.reported->observed_at);
    const double draw =
        core::RandomSource(core::CombineHashes(seed_, key)).Unit();
    const double decay =
        kMinReportedDecaySeconds +
        draw * (kMaxReportedDecaySeconds - kMinReportedDecaySeconds);
    const double weight = kReportedSeconds * std::exp(-age / decay);
    seconds += weight;
    log_pace_seconds += std::log(entry.reported->pace) * weight;
  }
  return std::exp(log_pace_seconds / seconds);
}

double EndpointPace::PaceOf(const core::RunnerId& endpoint,
                            core::TimePoint now) const {
  const auto it = entries_.find(EndpointKeyOf(endpoint));
  return it == entries_.end() ? 1.0 : PaceOf(it->first, it->second, now);
}

bool EndpointPace::WouldMissGaps(const core::PoolId& pool,
                                 const core::RunnerId& endpoint,
                                 uint32_t load,
                                 core::Duration gap_objective,
                                 core::TimePoint now) const {
  const double pace = PaceOf(endpoint, now);
  const auto baseline = baselines_.find(pool);
  return pace >= kSlowPace && baseline != baselines_.end() &&
         ExceedsShare(baseline->second.Long(load), pace, gap_objective,
                      kGapMargin);
}

bool EndpointPace::ComesNearObjective(const core::PoolId& pool,
                                      const core::RunnerId& endpoint,
                                      uint32_t load,
                                      const CallerNeeds& needs,
                                      core::TimePoint now) const {
  const double pace = PaceOf(endpoint, now);
  const auto baseline = baselines_.find(pool);
  if (baseline != baselines_.end() &&
      ExceedsShare(baseline->second.Long(load), pace, needs.gap_objective,
                   kNearShare)) {
    return true;
  }
  const auto answers = answers_.find(pool);
  return answers != answers_.end() &&
         ExceedsShare(answers->second.Long(needs), pace,
                      needs.latency_objective, kNearShare);
}

bool EndpointPace::Merge(const PaceReport& report, core::TimePoint now) {
  const core::TimePoint observed_at =
      now - core::milliseconds(report.age_milliseconds);
  const double pace = report.pace_percent / 100.0;
  if (pace <= 0 || pace > kMaxPace || now - observed_at > kLifetime) {
    return false;
  }
  Entry& entry = entries_[report.endpoint];
  // The same observation arrives by several paths, with ages rounded
  // differently.
  constexpr core::Duration kSameObservation = core::milliseconds(20);
  const bool is_old =
      observed_at < entry.valid_from ||
      (entry.reported &&
       observed_at <= entry.reported->observed_at + kSameObservation);
  if (is_old) {
    return false;
  }
  entry.reported = {.pace = pace, .observed_at = observed_at};
  return true;
}

bool EndpointPace::IsNews(const Entry& entry, double own, core::TimePoint now) {
  if (now - entry.sent_at < kMinInterval) {
    return false;
  }
  const bool is_known =
      entry.reported && now - entry.reported->observed_at < kLifetime;
  const double known = is_known ? entry.reported->pace : 1.0;
  const bool is_change =
      (own >= kReportedPace && known < kSlowPace) ||
      (own < kUsualPace && known >= kSlowPace) ||
      (own >= kReportedPace &&
       std::max(own, known) > kMinReportedRatio * std::min(own, known));
  const bool is_due = own >= kSlowPace && is_known &&
                      now - entry.reported->observed_at >= kRepeatInterval;
  return is_change || is_due;
}

std::vector<PaceReport> EndpointPace::TakeNews(core::TimePoint now) {
  std::vector<PaceReport> news;
  for (auto& [key, entry] : entries_) {
    const Evidence own = At(entry.own, now);
    if (own.count < kMinCount) {
      continue;
    }
    const double pace = std::exp(own.log_pace_seconds / own.seconds);
    if (IsNews(entry, pace, now)) {
      entry.reported = {.pace = pace, .observed_at = now};
      entry.sent_at = now;
      news.push_back(ReportOf(key, now));
    }
  }
  return news;
}

PaceReport EndpointPace::ReportOf(uint32_t endpoint,
                                  core::TimePoint now) const {
  const auto it = entries_.find(endpoint);
  if (it == entries_.end() || !it->second.reported) {
    return {.endpoint = endpoint,
            .age_milliseconds =
                static_cast<uint32_t>(core::ToMilliseconds(kLifetime))};
  }
  const Reported& reported = *it->second.reported;
  return {
      .endpoint = endpoint,
      .pace_percent = static_cast<uint32_t>(std::lround(reported.pace * 100)),
      .age_milliseconds = static_cast<uint32_t>(
          core::ToMilliseconds(now - reported.observed_at))};
}

std::vector<PaceChange> EndpointPace::TakeChanges(core::TimePoint now) {
  std::vector<PaceChange> changes;
  for (auto& [key, entry] : entries_) {
    const double pace = PaceOf(key, entry, now);
    const bool is_slow = pace >= kSlowPace;
    if (is_slow == entry.was_slow) {
      continue;
    }
    entry.was_slow = is_slow;
    core::TimePoint observed_at = entry.own.updated_at;
    if (entry.reported) {
      observed_at = std::max(observed_at, entry.reported->observed_at);
    }
    changes.push_back(
        {.endpoint = key, .pace = pace, .age = now - observed_at});
  }
  return changes;
}

void EndpointPace::Expire(core::TimePoint now) {
  absl::erase_if(entries_, [now](const auto& it) {
    const Entry& entry = it.second;
    const bool is_reported =
        entry.reported && now - entry.reported->observed_at < kLifetime;
    return !entry.was_slow && !is_reported &&
           now - entry.own.updated_at >= kLifetime &&
           now - entry.valid_from >= kLifetime;
  });
}

}  // namespace wasabi::forwarding
