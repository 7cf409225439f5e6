// Checks that a key for which a caller received not_run never runs, neither
// before nor after that answer, under any fault.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <optional>
#include <set>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/keyed_calls.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRouters = 3;
constexpr uint64_t kSeed = 20261204;
constexpr core::Duration kDeadline = seconds(3);
constexpr core::Duration kFirstDeadline = seconds(5);
constexpr core::Duration kShortDeadline = milliseconds(60);
constexpr core::Duration kFaultTime = milliseconds(1000);
// Exceeds the time for which a call in flight can still run: the owner's
// dispatch window plus the longest processing time of the services in this
// test.
constexpr core::Duration kLateExecutionTime = seconds(6);
constexpr core::Duration kEventTimeout = seconds(20);
// Processing time of a slow call in a service.
constexpr int kSlowCallMs = 1200;
constexpr int kServices = 3;

FleetOptions ServiceFleet() {
  FleetOptions options = SmallFleetOptions();
  options.entries = kRouters;
  options.services = kServices;
  options.engines = 1;
  options.seed = kSeed;
  // These callers cache no host list. A short lifetime of the host lists that
  // routers return keeps a graceful shutdown short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

bool PostFault(Fleet& fleet,
               const std::string& process,
               const nlohmann::json& fault) {
  const auto response = PostNow(fleet.AddressOf(process), "/faults", fault);
  return response.ok() && response->status == kHttpOk;
}

bool InjectIntoServices(Fleet& fleet, const nlohmann::json& fault) {
  for (int i = 1; i <= kServices; ++i) {
    if (!PostFault(fleet, fmt::format("service-{}", i), fault)) {
      return false;
    }
  }
  return true;
}

bool RefuseInServices(Fleet& fleet) {
  const bool is_injected =
      InjectIntoServices(fleet, {{"kind", "refuse"}, {"count", 20}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected;
}

bool PlatformOutage(Fleet& fleet) {
  const bool is_injected = PostFault(fleet, "platform", {{"outage", true}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected && PostFault(fleet, "platform", {{"outage", false}});
}

bool FlappingPlatform(Fleet& fleet) {
  constexpr int kFlaps = 4;
  for (int i = 0; i < kFlaps; ++i) {
    if (!PostFault(fleet, "platform", {{"outage", true}})) {
      return false;
    }
    std::this_thread::sleep_for(kFaultTime / kFlaps / 2);
    if (!PostFault(fleet, "platform", {{"outage", false}})) {
      return false;
    }
    std::this_thread::sleep_for(kFaultTime / kFlaps / 2);
  }
  return true;
}

bool SlowPlatform(Fleet& fleet) {
  const bool is_injected =
      PostFault(fleet, "platform", {{"answer_delay_ms", 80}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected && PostFault(fleet, "platform", {{"answer_delay_ms", 0}});
}

bool LostAppendAnswersThenOutage(Fleet& fleet) {
  const bool is_injected =
      PostFault(fleet, "platform",
                {{"lose_append_probability", 0.5}, {"lose_silently", true}});
  std::this_thread::sleep_for(kFaultTime / 2);
  const bool is_out = PostFault(fleet, "platform", {{"outage", true}});
  std::this_thread::sleep_for(kFaultTime / 2);
  return is_injected && is_out &&
         PostFault(fleet, "platform",
                   {{"lose_append_probability", 0.0},
                    {"lose_silently", false},
                    {"outage", false}});
}

struct FaultCase {
  std::string name;
  bool (*inject)(Fleet& fleet);
  // Deadline of the calls that are sent during the fault.
  core::Duration deadline;
  // True if the fault must cause at least one refusal.
  bool must_refuse;
};

const std::vector<FaultCase>& FaultCases() {
  static const std::vector<FaultCase> kCases = {
      {"services-refuse", &RefuseInServices, kDeadline, true},
      {"platform-outage", &PlatformOutage, kDeadline, true},
      {"platform-flaps", &FlappingPlatform, kDeadline, true},
      {"short-deadline", &SlowPlatform, kShortDeadline, false},
      {"lost-answers-and-outage", &LostAppendAnswersThenOutage, kDeadline,
       false},
  };
  return kCases;
}

// Returns the keys for which at least one send received not_run.
std::set<std::string> RefusedKeys(const KeyedCalls& calls) {
  std::set<std::string> refused;
  for (const KeyedSend& it : calls.sends()) {
    if (it.answer.is_refusal()) {
      refused.insert(it.key);
    }
  }
  return refused;
}

// Returns the keys that received not_run but were executed.
std::vector<std::string> RefusedButExecuted(const KeyedCalls& calls) {
  std::vector<std::string> broken;
  const auto executions = calls.Executions();
  for (const std::string& key : RefusedKeys(calls)) {
    if (executions.contains(key)) {
      broken.push_back(key);
    }
  }
  return broken;
}

void CheckPromise(Scenario& scenario, const KeyedCalls& calls) {
  const auto broken = RefusedButExecuted(calls);
  INFO(fmt::format("keys refused but executed: {}", fmt::join(broken, "; ")));
  INFO((broken.empty() ? "" : scenario.TimeLine()));
  CHECK(broken.empty());
}

TEST_CASE("a key that received not_run is never executed") {
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  for (const FaultCase& fault : FaultCases()) {
    INFO("fault " << fault.name << ", seed " << kSeed);
    const size_t refused_before = RefusedKeys(calls).size();
    KeyedLoad load(&calls, fault.name, kRouters, fault.deadline, kSeed);
    CHECK(fault.inject(fleet));
    load.Stop();
    const size_t refused = RefusedKeys(calls).size() - refused_before;
    WARN(fmt::format("{}: {} keys refused", fault.name, refused));
    CHECK((refused > 0 || !fault.must_refuse));
    CheckPromise(**scenario, calls);
  }
  // Keys that were refused during the faults must not run after them either.
  std::this_thread::sleep_for(kLateExecutionTime);
  CheckPromise(**scenario, calls);
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

// A fault that is injected while an earlier attempt of a key runs on a slow
// service and before the same key is resent through all hosts.
struct EarlierAttemptCase {
  std::string name;
  // Injects the fault for the resends. `owner` is the router that dispatched
  // the first attempt.
  bool (*inject)(Fleet& fleet, const std::string& owner);
  core::Duration deadline;
};

bool NoFurtherFault(Fleet& /*fleet*/, const std::string& /*owner*/) {
  return true;
}

bool StartOutage(Fleet& fleet, const std::string& /*owner*/) {
  return PostFault(fleet, "platform", {{"outage", true}});
}

bool KillOwner(Fleet& fleet, const std::string& owner) {
  return fleet.Signal(owner, SIGKILL).ok() &&
         fleet.WaitForExit(owner, kEventTimeout).ok();
}

bool FreezeOwner(Fleet& fleet, const std::string& owner) {
  return fleet.Signal(owner, SIGSTOP).ok();
}

bool EndFaults(Fleet& fleet, const std::string& owner) {
  if (!PostFault(fleet, "platform", {{"outage", false}}) ||
      !fleet.Signal(owner, SIGCONT).ok()) {
    return false;
  }
  const auto response = GetNow(fleet.AddressOf(owner), "/v1/healthz");
  return response.ok() || fleet.Restart(owner).ok();
}

const std::vector<EarlierAttemptCase>& EarlierAttemptCases() {
  static const std::vector<EarlierAttemptCase> kCases = {
      {"resend-in-time", &NoFurtherFault, seconds(1)},
      {"resend-at-deadline", &NoFurtherFault, milliseconds(1)},
      {"resend-in-outage", &StartOutage, seconds(1)},
      {"owner-killed", &KillOwner, kShortDeadline},
      {"owner-frozen", &FreezeOwner, kShortDeadline},
  };
  return kCases;
}

// A first attempt that is running on a slow service.
struct RunningAttempt {
  std::string key;
  // Name of the router that dispatched the attempt.
  std::string owner;
  std::future<KeyedAnswer> answer;
};

// Returns the name of the router whose events contain `key`, or an empty
// string.
std::string FindOwner(const Fleet& fleet, const std::string& key) {
  std::string owner;
  for (size_t i = 1; i <= kRouters; ++i) {
    const std::string name = fmt::format("router-{}", i);
    const auto response = GetNow(fleet.AddressOf(name), "/v1/events");
    if (response.ok() &&
        response->body.find("\"" + key + "\"") != std::string::npos) {
      owner = name;
    }
  }
  return owner;
}

// Sends new keys until a service runs one of them. The first keys may be
// refused while the fleet recovers from the fault of the previous case.
std::optional<RunningAttempt> StartAttempt(Fleet& fleet,
                                           KeyedCalls* calls,
                                           const std::string& name) {
  const core::TimePoint end = core::Clock::now() + kEventTimeout;
  for (int i = 0; core::Clock::now() < end; ++i) {
    RunningAttempt attempt;
    attempt.key = fmt::format("{}-{}", name, i);
    attempt.answer = calls->SendInBackground(attempt.key, 0, kFirstDeadline);
    WaitUntil(
        [&] {
          return calls->Executions().contains(attempt.key) ||
                 attempt.answer.wait_for(seconds(0)) ==
                     std::future_status::ready;
        },
        kEventTimeout);
    if (calls->Executions().contains(attempt.key)) {
      attempt.owner = FindOwner(fleet, attempt.key);
      return attempt;
    }
  }
  return std::nullopt;
}

TEST_CASE("a resend does not receive not_run while an earlier attempt runs") {
  constexpr int kKeysPerCase = 2;
  constexpr int kResends = 4;
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  for (const EarlierAttemptCase& it : EarlierAttemptCases()) {
    for (int n = 0; n < kKeysPerCase; ++n) {
      CHECK(InjectIntoServices(
          fleet,
          {{"kind", "slow"}, {"count", 1}, {"duration_ms", kSlowCallMs}}));
      auto first =
          StartAttempt(fleet, &calls, fmt::format("{}-{}", it.name, n));
      REQUIRE(first);
      INFO("key " << first->key);
      REQUIRE(!first->owner.empty());
      CHECK(it.inject(fleet, first->owner));
      std::vector<std::future<KeyedAnswer>> resends;
      for (int i = 0; i < kResends; ++i) {
        resends.push_back(
            calls.SendInBackground(first->key, i % kRouters, it.deadline));
      }
      for (auto& resend : resends) {
        resend.wait();
      }
      CHECK(EndFaults(fleet, first->owner));
      first->answer.wait();
    }
    CheckPromise(**scenario, calls);
  }
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

TEST_CASE("a resend above the rate limit does not receive not_run") {
  constexpr size_t kResends = 60;
  FleetOptions options = ServiceFleet();
  options.deployment.intent_file = "Tests/Integration/limited_rate.ini";
  auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  CHECK(InjectIntoServices(
      fleet, {{"kind", "slow"}, {"count", 1}, {"duration_ms", kSlowCallMs}}));
  auto first = StartAttempt(fleet, &calls, "over-rate");
  REQUIRE(first);
  std::vector<std::future<KeyedAnswer>> resends;
  for (size_t i = 0; i < kResends; ++i) {
    resends.push_back(
        calls.SendInBackground(first->key, i % kRouters, kFirstDeadline));
  }
  std::vector<std::future<KeyedAnswer>> others;
  for (size_t i = 0; i < kResends; ++i) {
    others.push_back(calls.SendInBackground(fmt::format("other-{}", i),
                                            i % kRouters, kFirstDeadline));
  }
  first->answer.wait();
  resends.clear();
  others.clear();
  const size_t refused = RefusedKeys(calls).size();
  INFO("keys refused: " << refused);
  CHECK(refused > 0);
  CheckPromise(**scenario, calls);
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
