// Runs wasabi_control and wasabictl as real processes against the platform
// stand-in and stand-in engines.

#include <signal.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibIntent/configuration_json.h"
#include "LibIntent/intent.h"
#include "Tests/Control/control_fixture.h"

namespace wasabi::control {
namespace {

using intent::MemberOf;
using nlohmann::json;

// Exit statuses of wasabictl: the result code modulo 256.
constexpr int kExitConflict = 700 % 256;
constexpr int kExitUnknownPlan = 701 % 256;
constexpr int kExitInvalidIntent = 703 % 256;
constexpr int kExitPlanExpired = 702 % 256;
constexpr int kExitPlatformUnavailable = 306 % 256;
constexpr int kExitLogWentBackwards = 602 % 256;
constexpr int kExitNotInForceEverywhere = 705 % 256;
constexpr int kExitAppendUncertain = 600 % 256;

const std::string kSalazar =
    std::string(WASABI_SOURCE_DIR) + "/examples/salazar.ini";

std::string LoadBoundIntent(double bound) {
  return fmt::format(
      "[intent]\nkind = load_bound\ndeployment = salazar\nmodel = luthier\n"
      "load_bound = {}\n",
      bound);
}

double LoadBoundInForce(ControlFixture* fixture, int number) {
  const json configuration = fixture->RunJson(number, {"configuration"});
  double bound = 0;
  const json& model = MemberOf(
      MemberOf(MemberOf(MemberOf(configuration, "deployments"), "salazar"),
               "models"),
      "luthier");
  intent::ReadMember(model, "load_bound", &bound).IgnoreError();
  return bound;
}

TEST_CASE("an intent is planned, confirmed and in force on both hosts") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  fixture.StartControl(2);
  REQUIRE(fixture.WaitForMembers(1, 2));
  CHECK(fixture.Run(1, {"plan", kSalazar}).exit_status == 0);
  CHECK(LoadBoundInForce(&fixture, 1) == 0);
  const CommandResult applied = fixture.Run(1, {"apply", kSalazar, "--yes"});
  CHECK(applied.exit_status == 0);
  CHECK_THAT(applied.output, Catch::Contains("in force on 2 of 2 hosts"));
  CHECK(LoadBoundInForce(&fixture, 1) == 1.25);
  CHECK(LoadBoundInForce(&fixture, 2) == 1.25);
  CHECK_THAT(fixture.Run(2, {"apply", kSalazar, "--yes"}).output,
             Catch::Contains("nothing to change"));
}

TEST_CASE(
    "the later of two conflicting plans is refused, and a repeated "
    "confirmation is reported as a repeat") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  fixture.StartControl(2);
  REQUIRE(fixture.Run(1, {"apply", kSalazar, "--yes"}).exit_status == 0);
  REQUIRE(fixture.WaitForOffset(2, 0));
  const std::string winner = fixture.Plan(1, LoadBoundIntent(1.5));
  const std::string loser = fixture.Plan(2, LoadBoundIntent(2));
  CHECK(fixture.Run(1, {"confirm", winner}).exit_status == 0);
  CHECK(fixture.Run(2, {"confirm", loser}).exit_status == kExitConflict);
  const CommandResult repeat = fixture.Run(1, {"confirm", winner});
  CHECK(repeat.exit_status == 0);
  CHECK_THAT(repeat.output, Catch::Contains("confirmed before"));
  // The other daemon knows the outcome because it reads the same log.
  REQUIRE(fixture.WaitForOffset(2, 1));
  CHECK(fixture.Run(2, {"confirm", winner}).exit_status == 0);
  CHECK(LoadBoundInForce(&fixture, 2) == 1.5);
}

TEST_CASE(
    "a confirmation whose append response is lost is decided by reading "
    "the log") {
  for (const bool is_silent : {false, true}) {
    CAPTURE(is_silent);
    ControlFixture fixture;
    fixture.StartPlatform();
    fixture.StartControl(1);
    fixture.SetFaults(fmt::format(
        R"({{"lose_append_answers":1,"lose_silently":{}}})", is_silent));
    const json answer = fixture.RunJson(
        1, {"confirm",
            fixture.Plan(1, intent::DrainIntentText("runner-1", true))});
    CHECK(MemberOf(answer, "outcome") == json("applied"));
    CHECK(MemberOf(answer, "offset") == json(0));
  }
}

TEST_CASE(
    "a confirmation during a platform outage is refused with a retry time") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  const std::string plan =
      fixture.Plan(1, intent::DrainIntentText("runner-1", true));
  fixture.SetFaults(R"({"outage":true})");
  const CommandResult refused = fixture.Run(1, {"confirm", plan});
  CHECK(refused.exit_status == kExitPlatformUnavailable);
  CHECK_THAT(refused.output, Catch::Contains("nothing has changed"));
  CHECK_THAT(refused.output, Catch::Contains("try again in"));
  fixture.SetFaults(R"({"outage":false})");
  CHECK(fixture.WaitUntil([&] {
    return fixture.Run(1, {"confirm", plan}).exit_status == 0;
  }));
}

TEST_CASE("a confirmation is uncertain until its record can be read back") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1, "[control]\nconfirm_timeout_ms = 500\n");
  const std::string plan =
      fixture.Plan(1, intent::DrainIntentText("runner-1", true));
  fixture.SetFaults(R"({"stale_records":1})");
  CHECK(fixture.Run(1, {"confirm", plan}).exit_status == kExitAppendUncertain);
  fixture.SetFaults(R"({"stale_records":0})");
  CHECK(fixture.WaitUntil([&] {
    return MemberOf(fixture.RunJson(1, {"show", plan}), "state") ==
           json("applied");
  }));
}

TEST_CASE("a truncated log does not revert the configuration") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  REQUIRE(fixture.Run(1, {"apply", kSalazar, "--yes"}).exit_status == 0);
  REQUIRE(fixture.Run(1, {"confirm", fixture.Plan(1, LoadBoundIntent(1.5))})
              .exit_status == 0);
  fixture.CallPlatform("POST", "/faults/truncate/configuration?end=1");
  CHECK(fixture.WaitUntil(
      [&] { return fixture.CountEvents(1, "log_went_backwards") > 0; }));
  CHECK(LoadBoundInForce(&fixture, 1) == 1.5);
  CHECK(fixture.Run(1, {"confirm", fixture.Plan(1, LoadBoundIntent(2))})
            .exit_status == kExitLogWentBackwards);
  CHECK(LoadBoundInForce(&fixture, 1) == 1.5);
}

TEST_CASE(
    "a daemon that starts after the log removed its first records loads a "
    "snapshot") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1, "[control]\nsnapshot_records = 2\n");
  REQUIRE(fixture.Run(1, {"apply", kSalazar, "--yes"}).exit_status == 0);
  REQUIRE(fixture.Run(1, {"confirm", fixture.Plan(1, LoadBoundIntent(1.5))})
              .exit_status == 0);
  REQUIRE(fixture.WaitUntil(
      [&] { return fixture.CountEvents(1, "snapshot_appended") > 0; }));
  fixture.CallPlatform("POST", "/faults/forget/configuration?before=2");
  fixture.StartControl(2);
  CHECK(fixture.WaitForOffset(2, 2));
  CHECK(LoadBoundInForce(&fixture, 2) == 1.5);
  CHECK(fixture.CountEvents(2, "snapshot_loaded") > 0);
}

TEST_CASE(
    "a daemon that starts during a platform outage loads the state of a "
    "peer") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  REQUIRE(fixture.Run(1, {"apply", kSalazar, "--yes"}).exit_status == 0);
  REQUIRE(fixture.Run(1, {"confirm", fixture.Plan(1, LoadBoundIntent(1.5))})
              .exit_status == 0);
  fixture.SetFaults(R"({"outage":true})");
  fixture.StartControl(2);
  CHECK(fixture.WaitForOffset(2, 1));
  CHECK(LoadBoundInForce(&fixture, 2) == 1.5);
  CHECK(MemberOf(fixture.Status(2), "is_platform_up") == json(false));
  fixture.SetFaults(R"({"outage":false})");
  CHECK(fixture.WaitUntil([&] {
    return fixture.Run(2, {"apply", kSalazar, "--yes"}).exit_status == 0;
  }));
}

TEST_CASE("a confirmation names the hosts that have not applied the plan") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1, "[control]\nin_force_timeout_ms = 1000\n");
  fixture.StartControl(2);
  REQUIRE(fixture.WaitForMembers(1, 2));
  fixture.SignalControl(2, SIGSTOP);
  const CommandResult result = fixture.Run(1, {"apply", kSalazar, "--yes"});
  CHECK(result.exit_status == kExitNotInForceEverywhere);
  CHECK_THAT(result.output, Catch::Contains("in force on 1 of 2 hosts"));
  CHECK_THAT(result.output, Catch::Contains("  entry-2/control"));
  fixture.SignalControl(2, SIGCONT);
  CHECK(fixture.WaitForOffset(2, 0));
}

TEST_CASE("invalid input returns a result code and leaves the daemon serving") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1, "[control]\nplan_lifetime_ms = 1000\n");
  CHECK(fixture.Run(1, {"confirm", "nonsense"}).exit_status ==
        kExitUnknownPlan);
  CHECK(fixture.Run(1, {"plan", fixture.WriteFile("bad.ini", "[intent]\n")})
            .exit_status == kExitInvalidIntent);
  const std::string plan =
      fixture.Plan(1, intent::DrainIntentText("runner-1", true));
  CHECK(fixture.WaitUntil([&] {
    return fixture.Run(1, {"show", plan}).exit_status == kExitPlanExpired;
  }));
  CHECK(fixture.Run(1, {"confirm", plan}).exit_status == kExitPlanExpired);
  CHECK(fixture.Run(1, {"status"}).exit_status == 0);
}

TEST_CASE("invalid settings are rejected with a result code and a reason") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  struct Case {
    const char* text;
    int exit_status;
    const char* message;
  };
  const std::vector<Case> cases = {
      {"[host]\nid = a\n", 105, "is required"},
      {"[hosts]\n id = a\n", 101, "unknown section [hosts]"},
      {"[host]\nname = a\n", 102, "unknown key name in section [host]"},
      {"[orders]\nmax_loads = 0\n", 103, "an integer from 1 to 1000"},
      {"[host]\nid = a\ndata_centre = b\n[listen]\nhttp = 127.0.0.1:1\n"
       "link = 127.0.0.1:1\ngossip = 127.0.0.1:1\n[platform]\n"
       "address = 127.0.0.1:2\n",
       104, "same address"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.text);
    const std::string path = fixture.WriteFile("settings.ini", it.text);
    const CommandResult result =
        fixture.Run(1, {"check-settings", path, "--for=control"});
    CHECK(result.exit_status == it.exit_status);
    CHECK_THAT(result.output, Catch::Contains(it.message));
    CHECK(fixture.RunProgram({"wasabi_control", "--settings=" + path})
              .exit_status == it.exit_status);
  }
}

TEST_CASE(
    "orders bring endpoints with and without fencing checks to their "
    "wanted state") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartEngine("runner-1", "models", /*checks_fencing=*/true);
  fixture.StartEngine("runner-2", "models", /*checks_fencing=*/false);
  fixture.StartControl(1, "[orders]\nread_back_ms = 200\n");
  for (const std::string id : {"runner-1", "runner-2"}) {
    const std::string plan = fixture.Plan(
        1, fmt::format("[intent]\nkind = wanted_state\nendpoint = {}\n"
                       "model = m\nversion = 2\n",
                       id));
    CHECK(fixture.Run(1, {"confirm", plan}).exit_status == 0);
  }
  const auto has_version = [&](const std::string& id) {
    const json state =
        fixture.Http(fixture.EngineAddress(id), "GET", "/v1/orders");
    return MemberOf(state, "version") == json("2") &&
           MemberOf(state, "applied") == json(true);
  };
  CHECK(fixture.WaitUntil([&] { return has_version("runner-1"); }));
  CHECK(fixture.WaitUntil([&] { return has_version("runner-2"); }));
  // The holder has read the states of both endpoints.
  CHECK(fixture.WaitUntil([&] {
    return MemberOf(fixture.Status(1), "pending_orders") == json(0);
  }));
  // An order from another sender, to the endpoint that ignores fencing numbers,
  // is corrected.
  fixture.Http(fixture.EngineAddress("runner-2"), "POST", "/v1/orders",
               R"({"model":"m","adapter":"","version":"1","role":"serving"})");
  CHECK(fixture.WaitUntil(
      [&] { return fixture.CountEvents(1, "order_corrected") > 0; }));
  CHECK(fixture.WaitUntil([&] { return has_version("runner-2"); }));
}

// Makes `version` the wanted model version of both runners.
void ConfirmWantedVersion(ControlFixture* fixture, int number, int version) {
  for (const char* endpoint : {"runner-1", "runner-2"}) {
    const std::string plan = fixture->Plan(
        number, fmt::format("[intent]\nkind = wanted_state\nendpoint = {}\n"
                            "model = m\nversion = {}\n",
                            endpoint, version));
    // A stopped host leads to kNotInForceEverywhere.
    const int exit_status = fixture->Run(number, {"confirm", plan}).exit_status;
    CHECK((exit_status == 0 || exit_status == kExitNotInForceEverywhere));
  }
}

// Returns whether both runners have applied `version`.
bool BothRunnersHaveVersion(ControlFixture* fixture,
                            const std::string& version) {
  for (const char* endpoint : {"runner-1", "runner-2"}) {
    const json state =
        fixture->Http(fixture->EngineAddress(endpoint), "GET", "/v1/orders");
    if (MemberOf(state, "version") != json(version) ||
        MemberOf(state, "applied") != json(true)) {
      return false;
    }
  }
  return true;
}

// SIGSTOP keeps the holder from noticing that the other daemon has taken over
// its pool. When it continues, it must not send orders from its stale state.
TEST_CASE(
    "a holder that resumes after losing its claim sends no stale orders") {
  const std::string settings =
      "[control]\nin_force_timeout_ms = 100\n[orders]\nread_back_ms = 200\n";
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartEngine("runner-1", "models", /*checks_fencing=*/true);
  fixture.StartEngine("runner-2", "models", /*checks_fencing=*/false);
  fixture.StartControl(1, settings);
  fixture.StartControl(2, settings);
  REQUIRE(fixture.WaitForMembers(1, 2));
  REQUIRE(fixture.WaitForMembers(2, 2));
  ConfirmWantedVersion(&fixture, 1, 2);
  REQUIRE(
      fixture.WaitUntil([&] { return BothRunnersHaveVersion(&fixture, "2"); }));

  const int holder = fixture.CountEvents(1, "order_sent") > 0 ? 1 : 2;
  const int other = 3 - holder;
  const int orders_before = fixture.CountEvents(holder, "order_sent");
  fixture.SignalControl(holder, SIGSTOP);
  REQUIRE(fixture.WaitForMembers(other, 1));
  ConfirmWantedVersion(&fixture, other, 3);
  REQUIRE(
      fixture.WaitUntil([&] { return BothRunnersHaveVersion(&fixture, "3"); }));

  fixture.SignalControl(holder, SIGCONT);
  REQUIRE(fixture.WaitForOffset(holder, 3));
  REQUIRE(fixture.WaitForMembers(other, 2));
  CHECK(fixture.CountEvents(holder, "order_sent") == orders_before);
  CHECK(fixture.CountEvents(holder, "order_corrected") == 0);
  CHECK(BothRunnersHaveVersion(&fixture, "3"));
}

TEST_CASE("SIGTERM shuts the daemon down gracefully") {
  ControlFixture fixture;
  fixture.StartPlatform();
  fixture.StartControl(1);
  CHECK(fixture.StopControl(1) == 0);
}

}  // namespace
}  // namespace wasabi::control
