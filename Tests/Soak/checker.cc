#include "Tests/Soak/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::soak {

namespace {

using support::EndpointRun;
using support::RunEnd;

using RunPointer = std::shared_ptr<EndpointRun>;
using CallPointer = std::shared_ptr<Call>;

constexpr int kFirstFailure = 300;
// A run that ends later than this after its caller disconnected counts as not
// cancelled.
constexpr core::Duration kCancelBound = core::milliseconds(500);
constexpr size_t kMaxLateStarts = 3;
// A pause that an endpoint asks for is checked from this time after its answer
// on. Requests that were on their way may still arrive.
constexpr core::Duration kPauseSlack = core::milliseconds(500);
constexpr size_t kMaxRunsInPause = 2;
constexpr size_t kMinCancellableRuns = 8;
constexpr double kMaxLateEndShare = 0.25;
constexpr size_t kMinRecoveryCalls = 50;
constexpr double kMinServedShare = 0.95;
// The remaining time given to an endpoint may exceed the caller's deadline by
// this much.
constexpr core::Duration kDeadlineSlack = core::milliseconds(500);
// A call that is cut within this time after it was sent may never have reached
// the host.
constexpr core::Duration kMaxDeliveryTime = core::milliseconds(200);

bool IsStream(CallKind kind) {
  return kind == CallKind::kResumableStream || kind == CallKind::kStreamOnce;
}

bool IsRetryable(CallKind kind) {
  return kind != CallKind::kAtMostOnce && kind != CallKind::kStreamOnce &&
         kind != CallKind::kMovedRoute;
}

// Returns true for statuses that guarantee that the request has not run and
// never will.
bool ImpliesNotExecuted(int status) {
  const std::set<int> not_executed_statuses = {408, 421, 429, 503};
  return not_executed_statuses.contains(status);
}

std::string AnswerOf(const Call& call) {
  if (!IsStream(call.kind)) {
    return support::PlainAnswerOf(call.id);
  }
  std::string events;
  for (uint64_t i = 1; i <= support::EventCountOf(call.id); ++i) {
    events += support::EventOf(call.id, i);
  }
  return events;
}

class Checker {
 public:
  Checker(const History& history, const Bounds& bounds, core::TimePoint now)
      : history_(history), bounds_(bounds), now_(now) {
    for (const RunPointer& it : history.runs) {
      runs_[it->request].push_back(it);
    }
    for (const CallPointer& it : history.calls) {
      calls_[it->id] = it;
    }
  }

  std::vector<Violation> Check() {
    for (const CallPointer& it : history_.calls) {
      CheckRunCount(*it);
      CheckPromise(*it);
      CheckAnswer(*it);
      CheckDenial(*it);
      CheckPool(*it);
      CheckKey(*it);
      CheckPlannedMaintenance(*it);
    }
    for (const RunPointer& it : history_.runs) {
      CheckRequest(*it);
    }
    CheckDepartures();
    for (const RunPointer& it : history_.runs) {
      CheckAnnouncedDeparture(*it);
      CheckPause(*it);
    }
    CheckCancellation();
    CheckRetryBudget();
    CheckRecovery();
    for (const std::string& it : history_.crashes) {
      Add("hosts exit only on a signal", it);
    }
    return std::move(violations_);
  }

 private:
  void Add(const std::string& guarantee, const std::string& detail) {
    violations_.push_back({.guarantee = guarantee, .detail = detail});
  }

  std::string Describe(const Call& call) const {
    return fmt::format(
        "call={} kind={} host={} sent_ms={} ended_ms={} status={} end={}",
        call.id.value(), static_cast<int>(call.kind), call.host,
        Milliseconds(call.sent_at), call.end ? Milliseconds(call.ended_at) : -1,
        call.status, call.end ? static_cast<int>(*call.end) : -1);
  }

  std::string Describe(const EndpointRun& run) const {
    return fmt::format("run at {} started_ms={} end={} ended_ms={}",
                       run.endpoint.value(), Milliseconds(run.started_at),
                       static_cast<int>(run.end), Milliseconds(run.ended_at));
  }

  int64_t Milliseconds(core::TimePoint time) const {
    return core::ToMilliseconds(time - history_.started_at);
  }

  // Returns the runs of `call` that an endpoint started.
  std::vector<RunPointer> RunsOf(const Call& call) const {
    std::vector<RunPointer> ran;
    const auto it = runs_.find(call.id);
    if (it != runs_.end()) {
      std::copy_if(
          it->second.begin(), it->second.end(), std::back_inserter(ran),
          [](const RunPointer& run) { return run->end != RunEnd::kRefused; });
    }
    return ran;
  }

  // Returns true if a disturbance accepted by `matches` overlaps the interval
  // from `from` to `to`.
  template <typename Predicate>
  bool IsDisturbed(core::TimePoint from,
                   core::TimePoint to,
                   Predicate matches) const {
    return std::any_of(history_.disturbances.begin(),
                       history_.disturbances.end(), [&](const auto& it) {
                         return matches(*it) && it->from <= to &&
                                from <= it->to;
                       });
  }

  // Returns true if the time bounds apply to `host` at `time`: neither the host
  // nor the store was disturbed within the preceding `bounds_.stable`.
  bool IsHostStable(size_t host, core::TimePoint time) const {
    return !IsDisturbed(
        time - bounds_.stable, time, [host](const Disturbance& it) {
          return it.scope == Disturbance::Scope::kStore ||
                 (it.scope == Disturbance::Scope::kHost && it.host == host);
        });
  }

  void CheckRunCount(const Call& call) {
    const std::vector<RunPointer> runs = RunsOf(call);
    if (!IsRetryable(call.kind) && runs.size() > 1) {
      Add("a non-retryable request runs at most once",
          fmt::format("{} runs; {}; {}; {}", runs.size(), Describe(call),
                      Describe(*runs[0]), Describe(*runs[1])));
    }
  }

  void CheckPromise(const Call& call) {
    const std::vector<RunPointer> runs = RunsOf(call);
    if (!IsRetryable(call.kind) && ImpliesNotExecuted(call.status) &&
        !runs.empty()) {
      Add("a request refused as not executed has not run",
          Describe(call) + "; " + Describe(*runs.front()));
    }
  }

  void CheckAnswer(const Call& call) {
    if (call.status == 0 ||
        (call.status >= kFirstFailure && call.signature.empty())) {
      return;
    }
    const std::vector<RunPointer> runs = RunsOf(call);
    const auto run =
        std::find_if(runs.begin(), runs.end(), [&call](const RunPointer& it) {
          return it->signature == call.signature;
        });
    const bool is_success = call.status < kFirstFailure;
    const bool is_signed = run != runs.end();
    if (!is_signed || is_success == ((*run)->end == RunEnd::kFailed)) {
      Add("an answer comes from a run of the same request", Describe(call));
      return;
    }
    const std::string expected = AnswerOf(call);
    const bool is_whole = call.end == http::OriginOutcome::kComplete;
    const bool is_right =
        is_whole ? call.answer == expected : expected.starts_with(call.answer);
    if (is_success && !is_right) {
      Add("answers are complete, in order and match the request",
          fmt::format("{}; got {} bytes, expected {}; whole={}", Describe(call),
                      call.answer.size(), expected.size(), is_whole));
    }
  }

  void CheckDenial(const Call& call) {
    const std::set<int> denials = {401, 403, 404};
    const bool is_unknown = call.kind == CallKind::kUnknownKey;
    const bool changes = call.kind == CallKind::kReplacedKey;
    if (denials.contains(call.status) && !is_unknown && !changes) {
      Add("requests allowed by every configuration are not denied",
          Describe(call));
    }
    if (is_unknown && !RunsOf(call).empty()) {
      Add("requests with an unknown key do not run", Describe(call));
    }
  }

  // Returns the newest configuration version that must be in force at `time`,
  // or 0 if there is none.
  int64_t VersionInForce(core::TimePoint time) const {
    int64_t version = 0;
    for (const Configuration& it : history_.configurations) {
      if (it.acknowledged_at + bounds_.configuration < time) {
        version = std::max(version, it.version);
      }
    }
    return version;
  }

  void CheckPool(const Call& call) {
    if (call.kind != CallKind::kMovedRoute ||
        !IsHostStable(call.host, call.sent_at)) {
      return;
    }
    const int64_t least = VersionInForce(call.sent_at);
    for (const RunPointer& run : RunsOf(call)) {
      const bool is_allowed = std::any_of(
          history_.configurations.begin(), history_.configurations.end(),
          [&](const Configuration& it) {
            return it.version >= least && it.moving_pool == run->pool;
          });
      if (!is_allowed) {
        Add("a configuration takes effect in time",
            fmt::format("pool={} version={}; {}", run->pool.value(), least,
                        Describe(call)));
      }
    }
  }

  void CheckKey(const Call& call) {
    if (call.kind != CallKind::kReplacedKey ||
        !IsHostStable(call.host, call.sent_at)) {
      return;
    }
    const int64_t least = VersionInForce(call.sent_at);
    if (call.key_version < least && !RunsOf(call).empty()) {
      Add("requests with a revoked key do not run",
          fmt::format("key={} version={}; {}", call.key_version, least,
                      Describe(call)));
    }
    const int64_t newest = history_.configurations.back().version;
    if (call.key_version == least && call.key_version == newest &&
        call.status == 401) {
      Add("a new key is accepted in time", Describe(call));
    }
  }

  // Reports a call that was cut while only planned maintenance took place.
  void CheckPlannedMaintenance(const Call& call) {
    const bool is_cut = call.end &&
                        call.end != http::OriginOutcome::kComplete &&
                        !call.disconnected_at;
    if (!is_cut || call.ended_at - call.sent_at >= call.deadline) {
      return;
    }
    const bool has_fault =
        IsDisturbed(call.sent_at - bounds_.stable, call.ended_at,
                    [](const Disturbance& it) { return !it.is_planned; });
    const bool was_read = !RunsOf(call).empty() ||
                          call.ended_at - call.sent_at > kMaxDeliveryTime;
    if (!has_fault && was_read) {
      Add("planned maintenance interrupts no requests", Describe(call));
    }
  }

  void CheckRequest(const EndpointRun& run) {
    const auto it = calls_.find(run.request);
    if (it == calls_.end()) {
      Add("endpoints run only requests sent by callers", Describe(run));
      return;
    }
    const Call& call = *it->second;
    const bool is_same = run.method == call.method &&
                         run.target == call.target && run.body == call.body;
    const std::string organisation =
        call.kind == CallKind::kReplacedKey ? "t2" : "t1";
    const bool has_valid_headers = run.headers.Get("Tenant") == organisation &&
                                   !run.headers.Find("Authorization") &&
                                   !run.headers.Find("Kv-From") &&
                                   !run.headers.Find("Cache-Hold");
    if (!is_same || !has_valid_headers) {
      Add("requests arrive unmodified and without forged headers",
          Describe(call) + "; " + Describe(run));
    }
    if (!run.remaining || *run.remaining > call.deadline + kDeadlineSlack) {
      Add("endpoints get no more time than the caller's deadline leaves",
          Describe(call) + "; " + Describe(run));
    }
  }

  void CheckDepartures() {
    for (const Departure& departure : history_.departures) {
      for (const RunPointer& run : history_.runs) {
        const auto call = calls_.find(run->request);
        const bool is_late =
            run->endpoint == departure.endpoint &&
            run->started_at > departure.acknowledged_at + bounds_.leaving;
        if (!is_late || call == calls_.end()) {
          continue;
        }
        const bool is_endpoint_disturbed =
            IsDisturbed(run->started_at - bounds_.stable, run->started_at,
                        [&run](const Disturbance& it) {
                          return it.scope == Disturbance::Scope::kEndpoint &&
                                 it.endpoint == run->endpoint;
                        });
        if (!is_endpoint_disturbed &&
            IsHostStable(call->second->host, run->started_at) &&
            call->second->sent_at >
                departure.acknowledged_at + bounds_.leaving) {
          Add("a leaving endpoint gets no new requests",
              fmt::format("left_ms={}; {}; {}",
                          Milliseconds(departure.acknowledged_at),
                          Describe(*call->second), Describe(*run)));
        }
      }
    }
  }

  // Calls `visit` for each later run at the endpoint of `run` that its host
  // caused, unless the host was disturbed in between.
  template <typename Visitor>
  void VisitLaterRuns(const EndpointRun& run, Visitor visit) const {
    const auto answered = calls_.find(run.request);
    if (answered == calls_.end()) {
      return;
    }
    const size_t host = answered->second->host;
    for (const RunPointer& it : history_.runs) {
      const auto call = calls_.find(it->request);
      const bool is_later = it->endpoint == run.endpoint &&
                            it->started_at > run.ended_at &&
                            call != calls_.end() && call->second->host == host;
      if (is_later && !IsHostDisturbed(host, run.ended_at, it->started_at)) {
        visit(*call->second, *it);
      }
    }
  }

  bool IsHostDisturbed(size_t host,
                       core::TimePoint from,
                       core::TimePoint to) const {
    return IsDisturbed(from, to, [host](const Disturbance& it) {
      return it.scope == Disturbance::Scope::kHost && it.host == host;
    });
  }

  void CheckAnnouncedDeparture(const EndpointRun& run) {
    if (!run.announces_departure || run.end != RunEnd::kAnswered) {
      return;
    }
    const core::TimePoint bound = run.ended_at + bounds_.leaving;
    VisitLaterRuns(run, [&](const Call& call, const EndpointRun& late) {
      if (call.sent_at > bound) {
        Add("an endpoint that said that it is leaving gets no new requests",
            fmt::format("said_ms={}; {}; {}", Milliseconds(run.ended_at),
                        Describe(call), Describe(late)));
      }
    });
  }

  void CheckPause(const EndpointRun& run) {
    if (!run.paused_until) {
      return;
    }
    size_t n = 0;
    VisitLaterRuns(run, [&](const Call& /*call*/, const EndpointRun& late) {
      n += late.started_at > run.ended_at + kPauseSlack &&
                   late.started_at < *run.paused_until
               ? 1
               : 0;
    });
    if (n > kMaxRunsInPause) {
      Add("an endpoint that asked for a pause gets no requests",
          fmt::format("{} requests; asked by {}", n, Describe(run)));
    }
  }

  void CheckCancellation() {
    size_t late_starts = 0;
    size_t cancellable_runs = 0;
    size_t late_ends = 0;
    std::string example;
    for (const CallPointer& call : history_.calls) {
      if (!call->disconnected_at ||
          !IsHostStable(call->host, *call->disconnected_at)) {
        continue;
      }
      const core::TimePoint bound = *call->disconnected_at + kCancelBound;
      for (const RunPointer& run : RunsOf(*call)) {
        late_starts += run->started_at > bound ? 1 : 0;
        const bool has_ended = run->end != RunEnd::kRunning;
        // A run that completed before the bound says nothing about
        // cancellation.
        const bool is_short = has_ended && run->ended_at <= bound &&
                              run->end != RunEnd::kCancelled;
        if (run->started_at > bound || now_ < bound || is_short ||
            IsEndpointDisturbed(run->endpoint, *call->disconnected_at, bound)) {
          continue;
        }
        ++cancellable_runs;
        if (!has_ended || run->ended_at > bound) {
          ++late_ends;
          example = Describe(*call) + "; " + Describe(*run);
        }
      }
    }
    if (late_starts > kMaxLateStarts) {
      Add("no work starts for disconnected callers",
          fmt::format("{} requests", late_starts));
    }
    if (cancellable_runs >= kMinCancellableRuns &&
        static_cast<double>(late_ends) >
            kMaxLateEndShare * static_cast<double>(cancellable_runs)) {
      Add("work for disconnected callers is cancelled",
          fmt::format("{} of {}; {}", late_ends, cancellable_runs, example));
    }
  }

  bool IsEndpointDisturbed(const core::RunnerId& endpoint,
                           core::TimePoint from,
                           core::TimePoint to) const {
    return IsDisturbed(from - bounds_.stable, to,
                       [&endpoint](const Disturbance& it) {
                         return it.scope == Disturbance::Scope::kEndpoint &&
                                it.endpoint == endpoint;
                       });
  }

  void CheckRetryBudget() {
    std::map<core::PoolId, std::vector<core::TimePoint>> repeats;
    std::map<core::PoolId, std::vector<core::TimePoint>> requests;
    std::set<core::RequestId> seen;
    for (const RunPointer& it : history_.runs) {
      const bool is_first = seen.insert(it->request).second;
      (is_first ? requests : repeats)[it->pool].push_back(it->started_at);
    }
    for (const auto& [pool, times] : repeats) {
      for (const core::TimePoint from : times) {
        const auto in_window = [&](core::TimePoint time) {
          return time >= from && time < from + bounds_.retry_window;
        };
        const auto n = std::count_if(times.begin(), times.end(), in_window);
        const auto of = std::count_if(requests[pool].begin(),
                                      requests[pool].end(), in_window);
        if (static_cast<double>(n) >
            bounds_.retry_ratio * static_cast<double>(of) +
                bounds_.retry_slack) {
          Add("retries stay within the fleet's budget",
              fmt::format("pool={} {} repeats of {} requests from {} ms",
                          pool.value(), n, of, Milliseconds(from)));
          return;
        }
      }
    }
  }

  void CheckRecovery() {
    core::TimePoint recovery_deadline = history_.started_at;
    for (const auto& it : history_.disturbances) {
      recovery_deadline = std::max(recovery_deadline, it->to);
    }
    recovery_deadline += bounds_.recovery;
    size_t calls = 0;
    size_t served = 0;
    std::string example;
    for (const CallPointer& it : history_.calls) {
      const bool counts = it->sent_at > recovery_deadline &&
                          !it->disconnected_at && it->end &&
                          it->kind != CallKind::kUnknownKey;
      calls += counts ? 1 : 0;
      served += counts && IsServed(*it) ? 1 : 0;
      if (counts && !IsServed(*it)) {
        example = Describe(*it);
      }
    }
    if (calls >= kMinRecoveryCalls &&
        static_cast<double>(served) <
            kMinServedShare * static_cast<double>(calls)) {
      Add("requests are served again after faults end",
          fmt::format("{} of {} from {} ms; {}", served, calls,
                      Milliseconds(recovery_deadline), example));
    }
  }

  const History& history_;
  const Bounds& bounds_;
  const core::TimePoint now_;
  std::map<core::RequestId, std::vector<RunPointer>> runs_;
  std::map<core::RequestId, CallPointer> calls_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckHistory(const History& history,
                                    const Bounds& bounds,
                                    core::TimePoint now) {
  return Checker(history, bounds, now).Check();
}

bool IsServed(const Call& call) {
  constexpr int kFirstSuccess = 200;
  return call.status >= kFirstSuccess && call.status < kFirstFailure &&
         call.end == http::OriginOutcome::kComplete;
}

}  // namespace wasabi::soak
