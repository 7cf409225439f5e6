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
// Work that ends later than this after its caller has left is counted.
constexpr core::Duration kCancelBound = core::milliseconds(500);
constexpr size_t kFewRequests = 3;
constexpr size_t kMinLeftCalls = 8;
constexpr double kMaxLeftShare = 0.25;
constexpr size_t kMinCalmCalls = 50;
constexpr double kMinCalmShare = 0.95;
// A caller's deadline may be exceeded by this much at an endpoint.
constexpr core::Duration kDeadlineSlack = core::milliseconds(500);
// What is cut this soon after it was sent may not have been read.
constexpr core::Duration kLostBound = core::milliseconds(200);

bool IsStream(CallKind kind) {
  return kind == CallKind::kResumableStream || kind == CallKind::kStreamOnce;
}

bool MayRepeat(CallKind kind) {
  return kind != CallKind::kAtMostOnce && kind != CallKind::kStreamOnce &&
         kind != CallKind::kMoving;
}

// Statuses that promise that a request has not run and never will.
bool ImpliesNotExecuted(int status) {
  const std::set<int> promises = {408, 421, 429, 503};
  return promises.contains(status);
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
      CheckRepeats(*it);
      CheckPromise(*it);
      CheckAnswer(*it);
      CheckDenial(*it);
      CheckPool(*it);
      CheckKey(*it);
      CheckPlannedWork(*it);
    }
    for (const RunPointer& it : history_.runs) {
      CheckRequest(*it);
    }
    CheckDepartures();
    CheckCancellation();
    CheckRetryBudget();
    CheckRecovery();
    for (const std::string& it : history_.crashes) {
      Add("a host ends only by a signal", it);
    }
    return std::move(violations_);
  }

 private:
  void Add(const std::string& promise, const std::string& detail) {
    violations_.push_back({.promise = promise, .detail = detail});
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

  // The requests of `call` that endpoints began to run.
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

  // Whether the host, or anything that `matches`, was disturbed in the time.
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

  // Whether bounds on time hold for `host` at `time`.
  bool IsInTouch(size_t host, core::TimePoint time) const {
    return !IsDisturbed(
        time - bounds_.stable, time, [host](const Disturbance& it) {
          return it.scope == Disturbance::Scope::kStore ||
                 (it.scope == Disturbance::Scope::kHost && it.host == host);
        });
  }

  void CheckRepeats(const Call& call) {
    const std::vector<RunPointer> runs = RunsOf(call);
    if (!MayRepeat(call.kind) && runs.size() > 1) {
      Add("what may not repeat runs at most once",
          fmt::format("{} runs; {}; {}; {}", runs.size(), Describe(call),
                      Describe(*runs[0]), Describe(*runs[1])));
    }
  }

  void CheckPromise(const Call& call) {
    const std::vector<RunPointer> runs = RunsOf(call);
    if (!MayRepeat(call.kind) && ImpliesNotExecuted(call.status) &&
        !runs.empty()) {
      Add("not run means not run",
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
      Add("an answer is that of the request's own run", Describe(call));
      return;
    }
    const std::string expected = AnswerOf(call);
    const bool is_whole = call.end == http::OriginOutcome::kComplete;
    const bool is_right =
        is_whole ? call.answer == expected : expected.starts_with(call.answer);
    if (is_success && !is_right) {
      Add("answers are whole, in order and the request's own",
          fmt::format("{}; got {} bytes, expected {}; whole={}", Describe(call),
                      call.answer.size(), expected.size(), is_whole));
    }
  }

  void CheckDenial(const Call& call) {
    const std::set<int> denials = {401, 403, 404};
    const bool is_unknown = call.kind == CallKind::kUnknownKey;
    const bool changes = call.kind == CallKind::kReplacedKey;
    if (denials.contains(call.status) && !is_unknown && !changes) {
      Add("what every configuration allows is not denied", Describe(call));
    }
    if (is_unknown && !RunsOf(call).empty()) {
      Add("an unknown key runs nothing", Describe(call));
    }
  }

  // The newest version that must be in force at `time`; 0 for none.
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
    if (call.kind != CallKind::kMoving || !IsInTouch(call.host, call.sent_at)) {
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
        Add("a configuration is in force in time",
            fmt::format("pool={} version={}; {}", run->pool.value(), least,
                        Describe(call)));
      }
    }
  }

  void CheckKey(const Call& call) {
    if (call.kind != CallKind::kReplacedKey ||
        !IsInTouch(call.host, call.sent_at)) {
      return;
    }
    const int64_t least = VersionInForce(call.sent_at);
    if (call.key_version < least && !RunsOf(call).empty()) {
      Add("a key that was taken away runs nothing",
          fmt::format("key={} version={}; {}", call.key_version, least,
                      Describe(call)));
    }
    const int64_t newest = history_.configurations.back().version;
    if (call.key_version == least && call.key_version == newest &&
        call.status == 401) {
      Add("a new key is allowed in time", Describe(call));
    }
  }

  // A call that is cut although only planned work went on.
  void CheckPlannedWork(const Call& call) {
    const bool is_cut =
        call.end && call.end != http::OriginOutcome::kComplete && !call.left_at;
    if (!is_cut || call.ended_at - call.sent_at >= call.deadline) {
      return;
    }
    const bool has_other_trouble =
        IsDisturbed(call.sent_at - bounds_.stable, call.ended_at,
                    [](const Disturbance& it) { return !it.is_planned; });
    const bool was_read =
        !RunsOf(call).empty() || call.ended_at - call.sent_at > kLostBound;
    if (!has_other_trouble && was_read) {
      Add("planned work cuts off nothing", Describe(call));
    }
  }

  void CheckRequest(const EndpointRun& run) {
    const auto it = calls_.find(run.request);
    if (it == calls_.end()) {
      Add("only callers' requests run", Describe(run));
      return;
    }
    const Call& call = *it->second;
    const bool is_same = run.method == call.method &&
                         run.target == call.target && run.body == call.body;
    const std::string organisation =
        call.kind == CallKind::kReplacedKey ? "t2" : "t1";
    const bool is_clean = run.headers.Get("Tenant") == organisation &&
                          !run.headers.Find("Authorization") &&
                          !run.headers.Find("Kv-From") &&
                          !run.headers.Find("Cache-Hold");
    if (!is_same || !is_clean) {
      Add("requests arrive as they were sent, without forged fields",
          Describe(call) + "; " + Describe(run));
    }
    if (!run.remaining || *run.remaining > call.deadline + kDeadlineSlack) {
      Add("endpoints get no more time than is left",
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
        const bool is_held_up =
            IsDisturbed(run->started_at - bounds_.stable, run->started_at,
                        [&run](const Disturbance& it) {
                          return it.scope == Disturbance::Scope::kEndpoint &&
                                 it.endpoint == run->endpoint;
                        });
        if (!is_held_up && IsInTouch(call->second->host, run->started_at) &&
            call->second->sent_at >
                departure.acknowledged_at + bounds_.leaving) {
          Add("a leaving endpoint gets nothing new",
              fmt::format("left_ms={}; {}; {}",
                          Milliseconds(departure.acknowledged_at),
                          Describe(*call->second), Describe(*run)));
        }
      }
    }
  }

  void CheckCancellation() {
    size_t late_starts = 0;
    size_t long_runs = 0;
    size_t late_ends = 0;
    std::string example;
    for (const CallPointer& call : history_.calls) {
      if (!call->left_at || !IsInTouch(call->host, *call->left_at)) {
        continue;
      }
      const core::TimePoint bound = *call->left_at + kCancelBound;
      for (const RunPointer& run : RunsOf(*call)) {
        late_starts += run->started_at > bound ? 1 : 0;
        const bool has_ended = run->end != RunEnd::kRunning;
        // One that ended in time by itself shows nothing.
        const bool is_short = has_ended && run->ended_at <= bound &&
                              run->end != RunEnd::kCancelled;
        if (run->started_at > bound || now_ < bound || is_short ||
            IsEndpointDisturbed(run->endpoint, *call->left_at, bound)) {
          continue;
        }
        ++long_runs;
        if (!has_ended || run->ended_at > bound) {
          ++late_ends;
          example = Describe(*call) + "; " + Describe(*run);
        }
      }
    }
    if (late_starts > kFewRequests) {
      Add("nothing starts for callers that have left",
          fmt::format("{} requests", late_starts));
    }
    if (long_runs >= kMinLeftCalls &&
        static_cast<double>(late_ends) >
            kMaxLeftShare * static_cast<double>(long_runs)) {
      Add("work for callers that have left ends",
          fmt::format("{} of {}; {}", late_ends, long_runs, example));
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
          Add("retries keep to the fleet's budget",
              fmt::format("pool={} {} repeats of {} requests from {} ms",
                          pool.value(), n, of, Milliseconds(from)));
          return;
        }
      }
    }
  }

  void CheckRecovery() {
    core::TimePoint calm_from = history_.started_at;
    for (const auto& it : history_.disturbances) {
      calm_from = std::max(calm_from, it->to);
    }
    calm_from += bounds_.recovery;
    size_t calls = 0;
    size_t served = 0;
    std::string example;
    for (const CallPointer& it : history_.calls) {
      const bool counts = it->sent_at > calm_from && !it->left_at && it->end &&
                          it->kind != CallKind::kUnknownKey;
      calls += counts ? 1 : 0;
      served += counts && IsServed(*it) ? 1 : 0;
      if (counts && !IsServed(*it)) {
        example = Describe(*it);
      }
    }
    if (calls >= kMinCalmCalls &&
        static_cast<double>(served) <
            kMinCalmShare * static_cast<double>(calls)) {
      Add("requests are served again after trouble",
          fmt::format("{} of {} from {} ms; {}", served, calls,
                      Milliseconds(calm_from), example));
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
