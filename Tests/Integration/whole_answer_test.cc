// Checks that every caller receives the complete answer to its own request
// under faults of the answers and of the connections on the path: 0 wrong, 0
// lost and 0 silently truncated answers. A truncated answer is resumed or ends
// with an explicit error.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using nlohmann::json;

constexpr uint64_t kSeed = 17;
constexpr core::Duration kLoadTimeout = std::chrono::seconds(60);
constexpr core::Duration kEventTimeout = std::chrono::seconds(15);
// Number of calls that each service delays, and the delay.
constexpr int kSlowCalls = 100;
constexpr core::Duration kSlowCallTime = std::chrono::milliseconds(1200);

// The answers take about half a second, so that many are in flight when a fault
// occurs. The silence timeout of the callers is shorter than the scenario, so
// that they detect a silent connection.
constexpr const char* kLongAnswers =
    "[chats]\nanswer_tokens_min = 80\nanswer_tokens_max = 160\n"
    "[caller]\nsilence_ms = 1000\npatience_ms = 15000\n";

// A fault and the name of the event that shows that the fault took effect.
struct FaultCase {
  std::string name;
  bool needs_proxies = false;
  std::function<void(Fleet*)> inject;
  std::string expected_event;
  // Additional lines for the section [caller] of the load settings.
  std::string caller_settings = {};
};

void InjectIntoEngines(Fleet* fleet, const json& fault) {
  for (const core::SocketAddress& engine : fleet->engines()) {
    const auto response = PostNow(engine, "/faults", fault);
    REQUIRE(response.ok());
    REQUIRE(response->status == kHttpOk);
  }
}

std::function<void(Fleet*)> EngineFault(const json& fault) {
  return [fault](Fleet* fleet) { InjectIntoEngines(fleet, fault); };
}

// Returns a fault that makes the open connections of the links
// `prefix`1`suffix`, `prefix`2`suffix` and so on half-open.
std::function<void(Fleet*)> HalfOpenLinks(const std::string& prefix,
                                          const std::string& suffix) {
  return [prefix, suffix](Fleet* fleet) {
    const size_t links = fleet->AddressesOf(prefix).size();
    for (size_t i = 1; i <= links; ++i) {
      const std::string link = fmt::format("{}{}{}", prefix, i, suffix);
      const absl::Status status =
          fleet->InjectLinkFault(link, {{"kind", "half_open"}});
      INFO(link << ": " << status.ToString());
      REQUIRE(status.ok());
    }
  };
}

// Returns how many events with the given name `router` recorded.
int64_t CountEvents(const core::SocketAddress& router, std::string_view name) {
  const auto events = GetNow(router, "/v1/events?from=0");
  REQUIRE(events.ok());
  const json page = ParseObject(events->body);
  return std::count_if(
      page.at("events").begin(), page.at("events").end(),
      [name](const json& it) { return it.value("name", "") == name; });
}

// Kills the router with the most `begin` events minus `end` events. If `end` is
// empty, every `begin` event counts.
void KillBusiest(Fleet* fleet, std::string_view begin, std::string_view end) {
  const Fleet::Addresses routers = fleet->routers();
  size_t busiest = 0;
  int64_t most = 0;
  const auto has_work = [&] {
    for (size_t i = 0; i < routers.size(); ++i) {
      // `end` events are counted first, so that they include none whose `begin`
      // event is recorded between the two counts.
      const int64_t ended = end.empty() ? 0 : CountEvents(routers[i], end);
      const int64_t open = CountEvents(routers[i], begin) - ended;
      if (open > most) {
        busiest = i;
        most = open;
      }
    }
    return most > 0;
  };
  REQUIRE(WaitUntil(has_work, kEventTimeout));
  REQUIRE(fleet->Signal("router-" + std::to_string(busiest + 1), SIGKILL).ok());
}

// Kills the router that started the most attempts.
void KillBusiestOwner(Fleet* fleet) {
  KillBusiest(fleet, "attempt_started", "");
}

// Kills an owner while it waits for the responses to keyed calls.
void KillOwnerOfSlowCalls(Fleet* fleet) {
  const json slow = {{"kind", "slow"},
                     {"count", kSlowCalls},
                     {"duration_ms", core::ToMilliseconds(kSlowCallTime)}};
  for (const core::SocketAddress& service : fleet->services()) {
    const auto response = PostNow(service, "/faults", slow);
    REQUIRE(response.ok());
    REQUIRE(response->status == kHttpOk);
  }
  std::this_thread::sleep_for(kSlowCallTime / 2);
  KillBusiest(fleet, "call_dispatched", "outcome_recorded");
}

std::vector<FaultCase> FaultCases() {
  return {
      {"crossed answers", false, EngineFault({{"kind", "cross"}, {"count", 4}}),
       "answer_crossed"},
      {"truncated answers", false,
       EngineFault({{"kind", "cut"}, {"count", 4}, {"tokens", 30}}),
       "attempt_resumed"},
      {"duplicate chunks", false,
       EngineFault({{"kind", "duplicate_chunks"}, {"count", 10}}), ""},
      {"delayed answers", false,
       EngineFault({{"kind", "late"}, {"count", 4}, {"duration_ms", 1200}}),
       ""},
      {"silent connections to engines", true, HalfOpenLinks("engine-", ""),
       "connection_silent"},
      {"silent connections between routers", true,
       HalfOpenLinks("router-", "-link"), "link_down"},
      {"silent connections to callers", true, HalfOpenLinks("router-", "-http"),
       "caller_reattached"},
      {"an owner killed in mid-stream", false, KillBusiestOwner,
       "caller_reattached"},
      {"an owner killed while keyed calls run", false, KillOwnerOfSlowCalls,
       "outcome_unknown", "attempts = 5\n"},
  };
}

// Waits until every engine has been seen running a request, so that answers are
// in flight when a fault is injected.
void WaitForLoad(const Fleet& fleet) {
  for (const core::SocketAddress& engine : fleet.engines()) {
    const bool is_loaded = WaitUntil(
        [&] {
          const auto report = GetNow(engine, "/v1/load");
          return report.ok() &&
                 ParseObject(report->body).value("running", 0) > 0;
        },
        kEventTimeout);
    REQUIRE(is_loaded);
  }
}

// Returns the lines of the time line whose request is named in `problems` and
// the lines that belong to no request.
std::string RelevantLines(const std::string& time_line,
                          const std::string& problems) {
  std::istringstream lines(time_line);
  std::string relevant;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string time, unit, process, code, event, subject;
    words >> time >> unit >> process >> code >> event >> subject;
    if (subject.find('=') != std::string::npos ||
        problems.find(subject) != std::string::npos) {
      relevant += line + "\n";
    }
  }
  return relevant;
}

TEST_CASE("every caller receives the complete answer to its own request") {
  const FaultCase row = GENERATE(from_range(FaultCases()));
  FleetOptions options = SmallFleetOptions();
  options.seed = kSeed;
  options.has_proxies = row.needs_proxies;
  const auto created = Scenario::Create(options);
  INFO(row.name << ", seed " << kSeed << ": " << created.status().ToString());
  REQUIRE(created.ok());
  Scenario& scenario = **created;

  ScenarioLoad load;
  load.duration = std::chrono::seconds(3);
  load.seed = kSeed;
  load.more_settings = std::string(kLongAnswers) + row.caller_settings;
  REQUIRE(scenario.StartLoad(load).ok());
  WaitForLoad(scenario.fleet());
  row.inject(&scenario.fleet());
  const auto result = scenario.FinishLoad(kLoadTimeout);
  INFO(result.status().ToString());
  REQUIRE(result.ok());

  const std::string time_line = scenario.TimeLine();
  INFO(scenario.LoadOutput());
  INFO(RelevantLines(time_line, scenario.LoadOutput()));
  CHECK(result->at("wrong_answers") == 0);
  CHECK(result->at("lost") == 0);
  CHECK(result->at("whole_answers") > 0);
  const bool has_taken_effect =
      time_line.find(row.expected_event) != std::string::npos;
  CHECK(has_taken_effect);
}

}  // namespace
}  // namespace wasabi::support
