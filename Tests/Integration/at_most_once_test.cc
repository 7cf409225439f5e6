// Checks that a call that is not repeatable runs at most once under any fault.
// If no process can determine whether the call ran, the caller receives
// outcome_unknown, and every resend of the key receives the same outcome.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <map>
#include <set>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/keyed_calls.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using core::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRouters = 3;
constexpr uint64_t kSeed = 20261203;
constexpr core::Duration kDeadline = seconds(3);
// Duration of the load without a fault, both before and after the fault.
constexpr core::Duration kFaultFreeTime = milliseconds(400);
constexpr core::Duration kFaultTime = milliseconds(1000);
// A call whose owner crashed gets an unknown outcome after 25 s at the
// earliest.
constexpr core::Duration kSettleTimeout = seconds(45);
constexpr core::Duration kEventTimeout = seconds(20);
constexpr size_t kSettlingThreads = 32;

FleetOptions ServiceFleet() {
  FleetOptions options = SmallFleetOptions();
  options.entries = kRouters;
  options.engines = 1;
  options.seed = kSeed;
  // These callers cache no host list. A short lifetime of the host lists that
  // routers return keeps a graceful shutdown short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

bool SetPlatformFault(Fleet& fleet, const nlohmann::json& fault) {
  const auto response = PostNow(fleet.AddressOf("platform"), "/faults", fault);
  return response.ok() && response->status == kHttpOk;
}

bool InjectServiceFault(Fleet& fleet,
                        const std::string& service,
                        const nlohmann::json& fault) {
  const auto response = PostNow(fleet.AddressOf(service), "/faults", fault);
  return response.ok() && response->status == kHttpOk;
}

// Returns whether `service` still has answers to drop. A service that does not
// respond counts as having some.
bool HasFaultsLeft(Fleet& fleet, const std::string& service) {
  const auto response = PostNow(fleet.AddressOf(service), "/faults",
                                {{"kind", "lose_answer"}, {"count", 0}});
  return !response.ok() || ParseObject(response->body).value("left", 1U) > 0;
}

std::vector<std::string> RouterNames() {
  std::vector<std::string> names;
  for (size_t i = 1; i <= kRouters; ++i) {
    names.push_back(fmt::format("router-{}", i));
  }
  return names;
}

bool NoFault(Fleet& /*fleet*/) {
  std::this_thread::sleep_for(kFaultTime);
  return true;
}

bool LoseAppendAnswers(Fleet& fleet) {
  const bool is_injected =
      SetPlatformFault(fleet, {{"lose_append_probability", 0.3}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected &&
         SetPlatformFault(fleet, {{"lose_append_probability", 0.0}});
}

bool LoseAppendAnswersSilently(Fleet& fleet) {
  const bool is_injected = SetPlatformFault(
      fleet, {{"lose_append_probability", 0.3}, {"lose_silently", true}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected &&
         SetPlatformFault(fleet, {{"lose_append_probability", 0.0},
                                  {"lose_silently", false}});
}

bool PlatformOutage(Fleet& fleet) {
  const bool is_injected = SetPlatformFault(fleet, {{"outage", true}});
  std::this_thread::sleep_for(kFaultTime);
  return is_injected && SetPlatformFault(fleet, {{"outage", false}});
}

bool CrashService(Fleet& fleet) {
  return InjectServiceFault(fleet, "service-1",
                            {{"kind", "crash"}, {"count", 1}}) &&
         fleet.WaitForExit("service-1", kEventTimeout).ok() &&
         fleet.Restart("service-1").ok();
}

bool LoseServiceAnswers(Fleet& fleet) {
  const bool is_injected = InjectServiceFault(
      fleet, "service-2", {{"kind", "lose_answer"}, {"count", 5}});
  std::this_thread::sleep_for(kFaultTime);
  // The fault ends only when the service has dropped all answers, which takes
  // longer under a low call rate.
  return is_injected &&
         WaitUntil([&] { return !HasFaultsLeft(fleet, "service-2"); },
                   kEventTimeout);
}

bool FreezeRouter(Fleet& fleet) {
  const bool is_frozen = fleet.Signal("router-2", SIGSTOP).ok();
  std::this_thread::sleep_for(kFaultTime);
  return is_frozen && fleet.Signal("router-2", SIGCONT).ok();
}

bool RestartAllRouters(Fleet& fleet) {
  for (const std::string& name : RouterNames()) {
    if (!fleet.Signal(name, SIGKILL).ok()) {
      return false;
    }
  }
  for (const std::string& name : RouterNames()) {
    if (!fleet.WaitForExit(name, kEventTimeout).ok() ||
        !fleet.Restart(name).ok()) {
      return false;
    }
  }
  return true;
}

struct FaultCase {
  std::string name;
  // Injects the fault and removes it. Returns false if either step failed.
  bool (*inject)(Fleet& fleet);
  // True if the fault can make it impossible to determine whether a call ran.
  bool allows_unknown_outcomes;
};

const std::vector<FaultCase>& FaultCases() {
  static const std::vector<FaultCase> kCases = {
      {"no-fault", &NoFault, false},
      {"append-answers-lost", &LoseAppendAnswers, false},
      {"append-answers-silent", &LoseAppendAnswersSilently, false},
      {"platform-outage", &PlatformOutage, false},
      {"service-crash", &CrashService, true},
      {"service-answers-lost", &LoseServiceAnswers, true},
      {"router-frozen", &FreezeRouter, false},
      {"all-routers-restarted", &RestartAllRouters, true},
  };
  return kCases;
}

// Returns the earliest send of each key.
std::map<std::string, KeyedSend> FirstSends(
    const std::vector<KeyedSend>& sends) {
  std::map<std::string, KeyedSend> first;
  for (const KeyedSend& it : sends) {
    const auto [position, is_new] = first.try_emplace(it.key, it);
    if (!is_new && it.started < position->second.started) {
      position->second = it;
    }
  }
  return first;
}

// Resends all keys from several threads until each has a final answer. Keys
// without a final answer are absent from the result.
std::map<std::string, KeyedAnswer> SettleAll(
    KeyedCalls* calls,
    const std::set<std::string>& keys) {
  const std::vector<std::string> list(keys.begin(), keys.end());
  std::vector<std::optional<KeyedAnswer>> answers(list.size());
  std::atomic<size_t> next = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kSettlingThreads; ++i) {
    threads.emplace_back([&] {
      for (size_t n = next++; n < list.size(); n = next++) {
        answers[n] = calls->Settle(list[n], kSettleTimeout);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::map<std::string, KeyedAnswer> settled;
  for (size_t n = 0; n < list.size(); ++n) {
    if (answers[n]) {
      settled[list[n]] = *answers[n];
    }
  }
  return settled;
}

// Returns one line for each violation of the at-most-once guarantee.
std::vector<std::string> FindProblems(
    const KeyedCalls& calls,
    const std::set<std::string>& keys,
    const std::map<std::string, KeyedAnswer>& settled) {
  std::vector<std::string> problems;
  const auto executions = calls.Executions();
  for (const std::string& key : keys) {
    const auto count = executions.find(key);
    const size_t n = count == executions.end() ? 0 : count->second;
    const auto outcome = settled.find(key);
    if (n > 1) {
      problems.push_back(fmt::format("{} ran {} times", key, n));
    }
    if (outcome == settled.end()) {
      problems.push_back(fmt::format("{} has no final outcome", key));
    } else if (outcome->second.code == 0 && n == 0) {
      problems.push_back(fmt::format("{} succeeded but did not run", key));
    } else if (outcome->second.is_refusal() && n > 0) {
      problems.push_back(fmt::format("{} received not_run but ran", key));
    }
  }
  for (const KeyedSend& it : calls.sends()) {
    const auto outcome = settled.find(it.key);
    if (it.answer.is_final() && outcome != settled.end() &&
        it.answer != outcome->second) {
      problems.push_back(fmt::format(
          "{} received code {} through router {}, and code {} later", it.key,
          it.answer.code, it.router + 1, outcome->second.code));
    }
  }
  return problems;
}

// Returns the keys with an unknown outcome that the fault does not explain:
// their first send ended before the fault began or started after it ended.
std::vector<std::string> FindUnexplained(
    const KeyedCalls& calls,
    const std::map<std::string, KeyedAnswer>& settled,
    core::TimePoint fault_began,
    core::TimePoint fault_ended) {
  std::vector<std::string> unexplained;
  for (const auto& [key, send] : FirstSends(calls.sends())) {
    const auto outcome = settled.find(key);
    const bool is_unknown =
        outcome != settled.end() &&
        outcome->second.code == static_cast<int>(ResultCode::kOutcomeUnknown);
    if (is_unknown &&
        (send.ended < fault_began || send.started > fault_ended)) {
      unexplained.push_back(key);
    }
  }
  return unexplained;
}

size_t CountUnknown(const std::map<std::string, KeyedAnswer>& settled) {
  return static_cast<size_t>(
      std::count_if(settled.begin(), settled.end(), [](const auto& it) {
        return it.second.code == static_cast<int>(ResultCode::kOutcomeUnknown);
      }));
}

// Injects one fault under load and checks the outcome of each key.
void RunFaultCase(Scenario& scenario, const FaultCase& fault) {
  Fleet& fleet = scenario.fleet();
  INFO("fault " << fault.name << ", seed " << kSeed);
  KeyedCalls calls(&fleet);
  KeyedLoad load(&calls, fault.name, kRouters, kDeadline, kSeed);
  std::this_thread::sleep_for(kFaultFreeTime);
  const core::TimePoint fault_began = core::Clock::now();
  CHECK(fault.inject(fleet));
  const core::TimePoint fault_ended = core::Clock::now();
  std::this_thread::sleep_for(kFaultFreeTime);
  load.Stop();
  std::set<std::string> keys;
  for (const KeyedSend& it : calls.sends()) {
    keys.insert(it.key);
  }
  const core::TimePoint settling_began = core::Clock::now();
  const auto settled = SettleAll(&calls, keys);
  const core::Duration settling_time = core::Clock::now() - settling_began;
  const auto problems = FindProblems(calls, keys, settled);
  const auto unexplained =
      FindUnexplained(calls, settled, fault_began, fault_ended);
  const size_t unknown = CountUnknown(settled);
  WARN(fmt::format("{}: {} keys, {} sends, {} unknown, settled in {} ms",
                   fault.name, keys.size(), calls.sends().size(), unknown,
                   core::ToMilliseconds(settling_time)));
  const bool is_passed = problems.empty() && unexplained.empty() &&
                         (unknown == 0 || fault.allows_unknown_outcomes);
  INFO("problems: " << fmt::format("{}", fmt::join(problems, "; ")));
  INFO("unexplained: " << fmt::format("{}", fmt::join(unexplained, "; ")));
  INFO((is_passed ? "" : scenario.TimeLine()));
  CHECK(!keys.empty());
  CHECK(problems.empty());
  CHECK(unexplained.empty());
  CHECK((unknown == 0 || fault.allows_unknown_outcomes));
}

// Returns whether the events of `router` name `key`, which they do once it has
// appended an intent.
bool HasAppendedIntent(const core::SocketAddress& router,
                       const std::string& key) {
  const auto response = GetNow(router, "/v1/events");
  return response.ok() &&
         response->body.find("\"" + key + "\"") != std::string::npos;
}

// Returns the index of the router that appended an intent for `key`, or no
// value after the timeout.
std::optional<size_t> FindOwner(const Fleet& fleet, const std::string& key) {
  const auto routers = fleet.routers();
  std::optional<size_t> owner;
  WaitUntil(
      [&] {
        for (size_t i = 0; i < routers.size(); ++i) {
          if (HasAppendedIntent(routers[i], key)) {
            owner = i;
          }
        }
        return owner.has_value();
      },
      kEventTimeout);
  return owner;
}

// Waits until the host list of `router` contains exactly `count` hosts.
bool WaitForHosts(const core::SocketAddress& router, size_t count) {
  return WaitUntil(
      [&] {
        const auto response = GetNow(router, "/v1/hosts");
        if (!response.ok()) {
          return false;
        }
        const nlohmann::json body = ParseObject(response->body);
        return body.is_object() && body.contains("hosts") &&
               body.at("hosts").size() == count;
      },
      kEventTimeout);
}

TEST_CASE("a key runs at most once under platform, service and router faults") {
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  for (const FaultCase& fault : FaultCases()) {
    RunFaultCase(**scenario, fault);
  }
  const absl::Status stopped = (*scenario)->fleet().Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

// The first owner is paused between appending its intent and sending the call.
// The second owner takes over while stale log reads do not return that intent.
TEST_CASE(
    "only one of a frozen owner and an owner with stale reads runs a key") {
  auto scenario = Scenario::Create(ServiceFleet());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  KeyedCalls calls(&fleet);
  const std::string key = "two-owners";
  REQUIRE(SetPlatformFault(fleet, {{"stale_records", 2}}));
  auto first = calls.SendInBackground(key, 0, seconds(20));
  const auto owner = FindOwner(fleet, key);
  REQUIRE(owner);
  const std::string owner_name = fmt::format("router-{}", *owner + 1);
  REQUIRE(fleet.Signal(owner_name, SIGSTOP).ok());
  const size_t other = (*owner + 1) % kRouters;
  const bool is_taken_over =
      WaitForHosts(fleet.routers().at(other), kRouters - 1);
  auto second = calls.SendInBackground(key, other, seconds(10));
  const bool has_second_intent = WaitUntil(
      [&] {
        for (size_t i = 0; i < kRouters; ++i) {
          if (i != *owner && HasAppendedIntent(fleet.routers().at(i), key)) {
            return true;
          }
        }
        return false;
      },
      kEventTimeout);
  CHECK(SetPlatformFault(fleet, {{"stale_records", 0}}));
  CHECK(fleet.Signal(owner_name, SIGCONT).ok());
  first.wait();
  second.wait();
  const auto settled = SettleAll(&calls, {key});
  const auto problems = FindProblems(calls, {key}, settled);
  INFO(fmt::format("owner {}, {}", owner_name, fmt::join(problems, "; ")));
  INFO((problems.empty() ? "" : (*scenario)->TimeLine()));
  CHECK(is_taken_over);
  CHECK(has_second_intent);
  CHECK(problems.empty());
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
