// Checks on a complete fleet of routers and control daemons that every
// reachable daemon applies an accepted configuration within seconds and never
// reverts it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using nlohmann::json;

// Upper bound on the time from a confirmation until all reachable hosts have
// applied it.
constexpr core::Duration kApplyTimeout = std::chrono::seconds(19);
constexpr core::Duration kSettleTimeout = std::chrono::seconds(30);
constexpr core::Duration kEventTimeout = std::chrono::seconds(15);
constexpr core::Duration kExitTimeout = std::chrono::seconds(30);
constexpr core::Duration kStatusTimeout = std::chrono::seconds(1);
constexpr core::Duration kConfirmTimeout = std::chrono::seconds(15);
constexpr int64_t kNoOffset = -1;
// Number of records after which a control daemon appends a snapshot. Most test
// cases append fewer than kManyRecords and so get no snapshot.
constexpr int64_t kManyRecords = 1000;
constexpr int64_t kFewRecords = 2;

json FetchJson(const core::SocketAddress& address, const std::string& target) {
  http::ClientRequest request;
  request.address = address;
  request.target = target;
  request.total_timeout = kStatusTimeout;
  const auto response = FetchNow(request);
  return response.ok() ? ParseObject(response->body) : json();
}

int64_t AppliedOffset(const core::SocketAddress& daemon) {
  const json status = FetchJson(daemon, "/v1/status");
  return status.is_object() ? status.value("applied_offset", kNoOffset)
                            : kNoOffset;
}

// Samples the applied offsets of the daemons and records each decrease. `fleet`
// must outlive it.
class OffsetMonitor {
 public:
  explicit OffsetMonitor(const Fleet* fleet) : fleet_(fleet) {
    for (int i = 1; i <= fleet->options().entries; ++i) {
      Watch(fmt::format("router-{}", i));
      Watch(fmt::format("control-{}", i));
    }
  }

  // Starts monitoring the process `name`, without an offset from an earlier
  // run.
  void Watch(const std::string& name) { offsets_[name] = kNoOffset; }
  // Excludes a process that a test stops or freezes.
  void Ignore(const std::string& name) { offsets_.erase(name); }

  void Sample() {
    for (auto& [name, offset] : offsets_) {
      const int64_t now = AppliedOffset(fleet_->AddressOf(name));
      if (now == kNoOffset) {
        continue;
      }
      if (now < offset) {
        decreases_ += fmt::format("{}: {} after {}\n", name, now, offset);
      }
      offset = now;
    }
  }

  bool IsInForce(int64_t offset) {
    Sample();
    for (const auto& [name, applied] : offsets_) {
      if (applied < offset) {
        return false;
      }
    }
    return true;
  }

  const std::string& falls() const { return decreases_; }
  std::string ToString() const {
    std::string text;
    for (const auto& [name, offset] : offsets_) {
      text += fmt::format("{}={} ", name, offset);
    }
    return text;
  }

 private:
  const Fleet* fleet_;
  std::map<std::string, int64_t> offsets_;
  std::string decreases_;
};

// The result code and log offset of a confirmation.
struct Confirmation {
  int code = 0;
  int64_t offset = kNoOffset;

  // Returns whether the confirmed record is part of the configuration.
  bool is_accepted() const {
    return offset != kNoOffset &&
           code != static_cast<int>(core::ResultCode::kConflict);
  }
  bool is_settled() const {
    return is_accepted() ||
           code == static_cast<int>(core::ResultCode::kConflict);
  }
};

std::string MakePlan(const core::SocketAddress& control,
                     const std::string& intent) {
  const auto response =
      PostNow(control, "/v1/plans",
              {{"operator", "test"}, {"name", "test"}, {"intent", intent}});
  REQUIRE(response.ok());
  INFO(response->body);
  REQUIRE(response->status == kHttpOk);
  return ParseObject(response->body).value("plan", "");
}

http::ClientRequest ConfirmRequest(const core::SocketAddress& control,
                                   const std::string& plan) {
  http::ClientRequest request;
  request.method = "POST";
  request.address = control;
  request.target = fmt::format("/v1/plans/{}/confirm", plan);
  request.total_timeout = kConfirmTimeout;
  return request;
}

Confirmation ReadConfirmation(
    const absl::StatusOr<http::ClientResponse>& response) {
  Confirmation it;
  if (!response.ok()) {
    it.code = static_cast<int>(core::CodeOf(response.status()));
    return it;
  }
  const json body = ParseObject(response->body);
  it.offset = body.value("offset", kNoOffset);
  if (body.contains("error")) {
    it.code = body["error"].value("code", 0);
  }
  return it;
}

Confirmation Confirm(const core::SocketAddress& control,
                     const std::string& plan) {
  return ReadConfirmation(FetchNow(ConfirmRequest(control, plan)));
}

// Confirms all plans concurrently, each through the given control daemon.
std::vector<Confirmation> ConfirmTogether(
    const std::vector<std::pair<core::SocketAddress, std::string>>& plans) {
  core::EventLoop loop;
  http::Client client(&loop);
  std::vector<Confirmation> results(plans.size());
  size_t open = plans.size();
  for (size_t i = 0; i < plans.size(); ++i) {
    client.Fetch(ConfirmRequest(plans[i].first, plans[i].second),
                 [&, i](const absl::StatusOr<http::ClientResponse>& response) {
                   results[i] = ReadConfirmation(response);
                   if (--open == 0) {
                     loop.Stop();
                   }
                 });
  }
  loop.Run();
  return results;
}

// Repeats the confirmation until its outcome is known, as operators are
// instructed to do.
Confirmation Settle(const core::SocketAddress& control,
                    const std::string& plan) {
  Confirmation it;
  WaitUntil(
      [&] {
        it = Confirm(control, plan);
        return it.is_settled();
      },
      kSettleTimeout);
  return it;
}

std::string DrainIntent(const std::string& endpoint) {
  return fmt::format("[intent]\nkind = drain\nendpoint = {}\n", endpoint);
}

std::string LoadBoundIntent(double bound) {
  return fmt::format(
      "[intent]\nkind = load_bound\ndeployment = salazar\nmodel = luthier\n"
      "load_bound = {}\n",
      bound);
}

bool IsDrained(const core::SocketAddress& control,
               const std::string& endpoint) {
  const json configuration = FetchJson(control, "/v1/configuration");
  const json drained =
      configuration.is_object()
          ? configuration.value("drained_endpoints", json::array())
          : json::array();
  return std::find(drained.begin(), drained.end(), endpoint) != drained.end();
}

double LoadBoundInForce(const core::SocketAddress& control) {
  const json configuration = FetchJson(control, "/v1/configuration");
  const json::json_pointer bound(
      "/deployments/salazar/models/luthier/load_bound");
  return configuration.contains(bound) ? configuration[bound].get<double>() : 0;
}

void CallPlatform(const Fleet& fleet,
                  const std::string& target,
                  const json& body) {
  const auto response = PostNow(fleet.AddressOf("platform"), target, body);
  REQUIRE(response.ok());
  REQUIRE(response->status == kHttpOk);
}

void SetFaults(const Fleet& fleet, const json& faults) {
  CallPlatform(fleet, "/faults", faults);
}

FleetOptions ConfigurationFleet(int64_t snapshot_records) {
  FleetOptions options = SmallFleetOptions();
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "100";
  options.control_settings["control"] = {
      {"confirm_timeout_ms", "1500"},
      {"in_force_timeout_ms", "1000"},
      {"snapshot_records", std::to_string(snapshot_records)}};
  return options;
}

// A fleet whose applied offsets are monitored, with the drains that it
// accepted.
class ConfigurationScenario {
 public:
  explicit ConfigurationScenario(int64_t snapshot_records = kManyRecords) {
    auto scenario = Scenario::Create(ConfigurationFleet(snapshot_records));
    INFO(scenario.status().ToString());
    REQUIRE(scenario.ok());
    scenario_ = std::move(*scenario);
    watch_ = std::make_unique<OffsetMonitor>(&fleet());
    watch_->Sample();
  }

  Fleet& fleet() { return scenario_->fleet(); }
  OffsetMonitor& watch() { return *watch_; }
  core::SocketAddress Control(int number) {
    return fleet().AddressOf(fmt::format("control-{}", number));
  }

  void RecordDrained(const std::string& endpoint) { drained_.insert(endpoint); }

  // Drains `endpoint`. No fault may be active.
  Confirmation Drain(const std::string& endpoint) {
    const Confirmation it =
        Settle(Control(1), MakePlan(Control(1), DrainIntent(endpoint)));
    REQUIRE(it.is_accepted());
    RecordDrained(endpoint);
    return it;
  }

  void CheckInForce(int64_t offset) {
    const bool is_in_force =
        WaitUntil([&] { return watch_->IsInForce(offset); }, kApplyTimeout);
    INFO(watch_->ToString());
    INFO((is_in_force ? "" : scenario_->TimeLine()));
    CHECK(is_in_force);
  }

  // Checks that every accepted drain is still present and no offset decreased.
  void CheckNothingReverted() {
    watch_->Sample();
    INFO((watch_->falls().empty() ? "" : scenario_->TimeLine()));
    CHECK(watch_->falls().empty());
    for (const std::string& endpoint : drained_) {
      CAPTURE(endpoint);
      CHECK(IsDrained(Control(1), endpoint));
      CHECK(IsDrained(Control(2), endpoint));
    }
  }

  void Freeze(const std::string& name) {
    REQUIRE(fleet().Signal(name, SIGSTOP).ok());
    watch_->Ignore(name);
  }

  void Thaw(const std::string& name) {
    REQUIRE(fleet().Signal(name, SIGCONT).ok());
    watch_->Watch(name);
  }

  // Stops the daemons concurrently and starts them again without waiting until
  // they are healthy. During a platform outage they have no host list and
  // cannot become healthy.
  void Restart(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      watch_->Ignore(name);
      REQUIRE(fleet().Signal(name, SIGTERM).ok());
    }
    for (const std::string& name : names) {
      REQUIRE(fleet().WaitForExit(name, kExitTimeout).ok());
      REQUIRE(fleet().StartWithoutHealthCheck(name).ok());
      watch_->Watch(name);
    }
  }

  // Returns whether a control daemon has appended a snapshot to the log.
  bool HasSnapshot() {
    for (int i = 1; i <= fleet().options().entries; ++i) {
      const std::string events = FetchJson(Control(i), "/v1/events").dump();
      if (events.find("snapshot_appended") != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  bool WaitForPlatform(bool is_up) {
    return WaitUntil(
        [&] {
          watch_->Sample();
          return FetchJson(Control(1), "/v1/status")
                     .value("is_platform_up", !is_up) == is_up;
        },
        kEventTimeout);
  }

 private:
  std::unique_ptr<Scenario> scenario_;
  std::unique_ptr<OffsetMonitor> watch_;
  std::set<std::string> drained_;
};

TEST_CASE("of two concurrent confirmations one conflicts and one is applied") {
  ConfigurationScenario it;
  for (int round = 1; round <= 3; ++round) {
    CAPTURE(round);
    // Each value is used only once, so that every plan contains a change.
    const double first_bound = 1.25 + 0.5 * round;
    const double second_bound = 1.5 + 0.5 * round;
    const std::string first =
        MakePlan(it.Control(1), LoadBoundIntent(first_bound));
    const std::string second =
        MakePlan(it.Control(2), LoadBoundIntent(second_bound));
    const std::vector<Confirmation> results =
        ConfirmTogether({{it.Control(1), first}, {it.Control(2), second}});
    const bool is_first_winner = results[0].is_accepted();
    const Confirmation& winner = results[is_first_winner ? 0 : 1];
    const Confirmation& loser = results[is_first_winner ? 1 : 0];
    CHECK(winner.is_accepted());
    CHECK(loser.code == static_cast<int>(core::ResultCode::kConflict));
    it.CheckInForce(winner.offset);
    // The other host then returns the same offset for the winning plan.
    CHECK(Settle(it.Control(is_first_winner ? 2 : 1),
                 is_first_winner ? first : second)
              .offset == winner.offset);
    const double bound = is_first_winner ? first_bound : second_bound;
    CHECK(LoadBoundInForce(it.Control(1)) == bound);
    CHECK(LoadBoundInForce(it.Control(2)) == bound);
  }
  it.CheckNothingReverted();
}

// A platform fault that is active during one confirmation.
struct PlatformFault {
  const char* name;
  json planted;
  json ended;
  bool is_first_try_accepted;
};

TEST_CASE("a confirmation during a platform fault is applied on all daemons") {
  const auto fault = GENERATE(values<PlatformFault>(
      {{"append response lost",
        {{"lose_append_answers", 1}},
        json::object(),
        true},
       {"append response lost silently",
        {{"lose_append_answers", 1}, {"lose_silently", true}},
        json::object(),
        true},
       {"stale reads", {{"stale_records", 1}}, {{"stale_records", 0}}, false},
       {"outage before the confirmation",
        {{"outage", true}},
        {{"outage", false}},
        false}}));
  CAPTURE(fault.name);
  ConfigurationScenario it;
  const std::string plan = MakePlan(it.Control(1), DrainIntent("engine-1"));
  SetFaults(it.fleet(), fault.planted);
  const Confirmation first = Confirm(it.Control(1), plan);
  CHECK(first.is_accepted() == fault.is_first_try_accepted);
  SetFaults(it.fleet(), fault.ended);
  const Confirmation settled = Settle(it.Control(1), plan);
  INFO(settled.code);
  REQUIRE(settled.is_accepted());
  it.RecordDrained("engine-1");
  it.CheckInForce(settled.offset);
  it.CheckNothingReverted();
}

TEST_CASE("a confirmation interrupted by an outage has one outcome") {
  ConfigurationScenario it;
  const std::string plan = MakePlan(it.Control(1), DrainIntent("engine-1"));
  // The append takes effect, but its response is lost and stale reads do not
  // return the record.
  SetFaults(it.fleet(), {{"lose_append_answers", 1}, {"stale_records", 10}});
  CHECK_FALSE(Confirm(it.Control(1), plan).is_accepted());
  SetFaults(it.fleet(), {{"outage", true}});
  REQUIRE(it.WaitForPlatform(false));
  SetFaults(it.fleet(), {{"outage", false}, {"stale_records", 0}});
  const Confirmation settled = Settle(it.Control(1), plan);
  REQUIRE(settled.is_accepted());
  it.RecordDrained("engine-1");
  it.CheckInForce(settled.offset);
  CHECK(Settle(it.Control(1), plan).offset == settled.offset);
  it.CheckNothingReverted();
}

TEST_CASE("a frozen daemon catches up from its peers during an outage") {
  ConfigurationScenario it;
  it.Freeze("router-3");
  // The pending log read delivers the first record when the router resumes. The
  // second record can only come from a peer.
  it.Drain("engine-1");
  const Confirmation accepted = it.Drain("engine-2");
  it.CheckInForce(accepted.offset);
  SetFaults(it.fleet(), {{"outage", true}});
  REQUIRE(it.WaitForPlatform(false));
  it.Thaw("router-3");
  it.CheckInForce(accepted.offset);
  SetFaults(it.fleet(), {{"outage", false}});
  REQUIRE(it.WaitForPlatform(true));
  it.CheckInForce(it.Drain("engine-3").offset);
  it.CheckNothingReverted();
}

TEST_CASE("daemons restarted in an outage fetch the configuration from peers") {
  ConfigurationScenario it;
  const Confirmation accepted = it.Drain("engine-1");
  it.CheckInForce(accepted.offset);
  SetFaults(it.fleet(), {{"outage", true}});
  REQUIRE(it.WaitForPlatform(false));
  it.Restart({"router-1", "router-2", "router-3", "control-1"});
  it.CheckInForce(accepted.offset);
  SetFaults(it.fleet(), {{"outage", false}});
  REQUIRE(it.WaitForPlatform(true));
  it.CheckInForce(it.Drain("engine-2").offset);
  it.CheckNothingReverted();
}

TEST_CASE("a truncated log start does not revert the configuration") {
  ConfigurationScenario it(kFewRecords);
  const int64_t first = it.Drain("engine-1").offset;
  const int64_t second = it.Drain("engine-2").offset;
  // The control daemons append a snapshot after kFewRecords records.
  REQUIRE(WaitUntil([&] { return it.HasSnapshot(); }, kEventTimeout));
  CallPlatform(it.fleet(),
               fmt::format("/faults/forget/configuration?before={}", first + 1),
               json::object());
  it.Restart({"router-1", "control-1"});
  it.CheckInForce(second);
  it.CheckInForce(it.Drain("engine-3").offset);
  it.CheckNothingReverted();
}

}  // namespace
}  // namespace wasabi::support
