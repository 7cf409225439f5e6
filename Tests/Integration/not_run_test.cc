// A key that was told "not run" never runs, neither before nor after it was
// told so, whatever fails.

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
// Longer than any call in flight may still run: the owner's dispatch window
// and the longest work of the services in this test.
constexpr core::Duration kLateExecutionTime = seconds(6);
constexpr core::Duration kEventTimeout = seconds(20);
// How long the services work on a slow call.
constexpr int kSlowCallMs = 1200;
constexpr int kServices = 3;

FleetOptions ServiceFleet() {
  FleetOptions options = SmallFleet();
  options.entries = kRouters;
  options.services = kServices;
  options.engines = 1;
  options.seed = kSeed;
  // These callers keep no list of hosts, so that a planned stop is short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

bool PostFault(Fleet& fleet,
               const std::string& process,
               const nlohmann::json& fault) {
  const auto response = PostNow(fleet.AddressOf(process), "/faults", fault);
  return response.ok() && response->status == kHttpOk;
}

bool PlantInServices(Fleet& fleet, const nlohmann::json& fault) {
  for (int i = 1; i <= kServices; ++i) {
    if (!PostFault(fleet, fmt::format("service-{}", i), fault)) {
      return false;
    }
  }
  return true;
}

bool RefuseInServices(Fleet& fleet) {
  const bool is_planted =
      PlantInServices(fleet, {{"kind", "refuse"}, {"count", 20}});
  std::this_thread::sleep_for(kFaultTime);
  return is_planted;
}

bool PlatformOutage(Fleet& fleet) {
  const bool is_planted = PostFault(fleet, "platform", {{"outage", true}});
  std::this_thread::sleep_for(kFaultTime);
  return is_planted && PostFault(fleet, "platform", {{"outage", false}});
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
  const bool is_planted =
      PostFault(fleet, "platform", {{"answer_delay_ms", 80}});
  std::this_thread::sleep_for(kFaultTime);
  return is_planted && PostFault(fleet, "platform", {{"answer_delay_ms", 0}});
}

bool LostAppendAnswersThenOutage(Fleet& fleet) {
  const bool is_planted =
      PostFault(fleet, "platform",
                {{"lose_append_probability", 0.5}, {"lose_silently", true}});
  std::this_thread::sleep_for(kFaultTime / 2);
  const bool is_out = PostFault(fleet, "platform", {{"outage", true}});
  std::this_thread::sleep_for(kFaultTime / 2);
  return is_planted && is_out &&
         PostFault(fleet, "platform",
                   {{"lose_append_probability", 0.0},
                    {"lose_silently", false},
                    {"outage", false}});
}

struct FaultCase {
  std::string name;
  bool (*bring_about)(Fleet& fleet);
  // The deadline of the calls under the fault.
  core::Duration deadline;
  // Whether the fault must make some calls be refused.
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

// Keys that were told "not run" at least once.
std::set<std::string> RefusedKeys(const KeyedCalls& calls) {
  std::set<std::string> refused;
  for (const KeyedSend& it : calls.sends()) {
    if (it.answer.is_refusal()) {
      refused.insert(it.key);
    }
  }
  return refused;
}

// Of the keys that were told "not run", those that ran.
std::vector<std::string> RefusedButRun(const KeyedCalls& calls) {
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
  const auto broken = RefusedButRun(calls);
  INFO(fmt::format("refused and run: {}", fmt::join(broken, "; ")));
  INFO((broken.empty() ? "" : scenario.TimeLine()));
  CHECK(broken.empty());
}

TEST_CASE("a key that was told not run does not run, also later") {
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  for (const FaultCase& fault : FaultCases()) {
    INFO("fault " << fault.name << ", seed " << kSeed);
    const size_t refused_before = RefusedKeys(calls).size();
    KeyedLoad load(&calls, fault.name, kRouters, fault.deadline, kSeed);
    CHECK(fault.bring_about(fleet));
    load.Stop();
    const size_t refused = RefusedKeys(calls).size() - refused_before;
    WARN(fmt::format("{}: {} keys refused", fault.name, refused));
    CHECK((refused > 0 || !fault.must_refuse));
    CheckPromise(**scenario, calls);
  }
  // What was refused under the faults must not run after them either.
  std::this_thread::sleep_for(kLateExecutionTime);
  CheckPromise(**scenario, calls);
  CHECK(fleet.Stop().ok());
}

// An earlier attempt of a key runs at a slow service while the same key is sent
// again through the other hosts.
struct EarlierAttemptCase {
  std::string name;
  // Brings about what meets the resends; `owner` dispatched the first attempt.
  bool (*bring_about)(Fleet& fleet, const std::string& owner);
  core::Duration deadline;
};

bool NothingElse(Fleet& /*fleet*/, const std::string& /*owner*/) {
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
      {"resend-in-time", &NothingElse, seconds(1)},
      {"resend-at-deadline", &NothingElse, milliseconds(1)},
      {"resend-in-outage", &StartOutage, seconds(1)},
      {"owner-killed", &KillOwner, kShortDeadline},
      {"owner-frozen", &FreezeOwner, kShortDeadline},
  };
  return kCases;
}

// A first attempt that runs at a slow service.
struct RunningAttempt {
  std::string key;
  // The router that dispatched it.
  std::string owner;
  std::future<KeyedAnswer> answer;
};

// The router whose events name `key`, or nothing.
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

// Sends new keys until a service runs one. The first ones may be refused while
// the fleet recovers from the fault of the case before.
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

TEST_CASE("a resend is not told not run while an earlier attempt runs") {
  constexpr int kKeysPerCase = 2;
  constexpr int kResends = 4;
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  for (const EarlierAttemptCase& it : EarlierAttemptCases()) {
    for (int n = 0; n < kKeysPerCase; ++n) {
      CHECK(PlantInServices(
          fleet,
          {{"kind", "slow"}, {"count", 1}, {"duration_ms", kSlowCallMs}}));
      auto first =
          StartAttempt(fleet, &calls, fmt::format("{}-{}", it.name, n));
      REQUIRE(first);
      INFO("key " << first->key);
      REQUIRE(!first->owner.empty());
      CHECK(it.bring_about(fleet, first->owner));
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
  CHECK(fleet.Stop().ok());
}

TEST_CASE("a resend over the organisation's rate is not told not run") {
  constexpr size_t kResends = 60;
  FleetOptions options = ServiceFleet();
  options.deployment.intent_file = "Tests/Integration/limited_rate.ini";
  auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  CHECK(PlantInServices(
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
  CHECK(fleet.Stop().ok());
}

}  // namespace
}  // namespace wasabi::support
